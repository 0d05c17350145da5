package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The combined load of thirty independent sidecars on a server that has just started. */
class ColdFleetTest {

    private static final int SIDECARS = 30;
    private static final Limits LIMITS = new Limits(4, true, true, false, 0);
    private static final double MEAN_MS = 50; // of work per request
    private static final double STEP_MS = 5;
    private static final double BEFORE_START_MS = 6000;
    private static final double AFTER_START_MS = 20_000;

    /** An arrival at the cold server; work is in units of a mean request. */
    private record Arrival(double atMs, double work) {}

    /** Some servers stop answering while the new one is cold, so that it may get the tokens saved until then. */
    @ParameterizedTest
    @CsvSource({
        "10,4,1,0,2",
        "10,4,2,9,2",
        "10,4,3,9,1",
        "24,4,4,18,8",
        "10,2.5,5,6,2",
        "8,3,6,7,1",
        "12,4,7,11,30",
        "16,1.5,8,10,2",
        "16,1.5,8,15,2",
        "16,1.5,9,15,2",
        "16,1.5,10,15,2",
        "16,1.5,11,15,8"
    })
    void combinedLoadStaysWithinTheBudget(int servers, double factor, int seed, int silent, double perServerS) {
        Random random = new Random(seed);
        Contract contract = new Contract(0.12, 24_000, factor, 2000, 10_000);
        Settings settings = settings(contract);
        List<FakeSidecar> fleet = new ArrayList<>();
        double[] weights = new double[SIDECARS];
        double sum = 0;
        for (int i = 0; i < SIDECARS; i++) {
            fleet.add(new FakeSidecar(settings, random.nextLong()));
            fleet.get(i).listReady(servers);
            weights[i] = -Math.log(1 - random.nextDouble()); // some sidecars have several times the mean traffic
            sum += weights[i];
        }
        double utilisation = 0.6; // of a warm server
        List<Arrival> arrivals = new ArrayList<>();
        for (double elapsedMs = 0; elapsedMs < BEFORE_START_MS + AFTER_START_MS; elapsedMs += STEP_MS) {
            boolean stopped = elapsedMs > BEFORE_START_MS + AFTER_START_MS / 2;
            for (int i = 0; i < SIDECARS; i++) {
                FakeSidecar sidecar = fleet.get(i);
                if (elapsedMs == BEFORE_START_MS) {
                    sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(1, Status.READY, sidecar.now));
                }
                if (random.nextDouble() < perServerS * servers * weights[i] / sum * STEP_MS / 1000) {
                    double work = MEAN_MS * Math.exp(random.nextGaussian() - 0.5); // some take several times the mean
                    int before = sidecar.sent.size();
                    sidecar.request(0, 0, 2000, false, work);
                    recordArrivals(sidecar, before, work, elapsedMs, arrivals);
                }
                int before = sidecar.sent.size();
                answerDue(sidecar, stopped ? silent : 0);
                sidecar.advance(STEP_MS);
                recordArrivals(sidecar, before, MEAN_MS, elapsedMs, arrivals);
            }
        }
        assertFalse(arrivals.isEmpty(), "the started server gets requests");
        fleet.forEach(sidecar -> assertEquals(List.of(), sidecar.violations));
        double capacityPerMs = perServerS / utilisation / 1000;
        assertWithinBudget(arrivals, contract, capacityPerMs);
    }

    private static Settings settings(Contract contract) {
        RequestClass spec = new RequestClass("class", 600, 2000, 1, 0.5, Effect.SAFE, Group.ALL, 0, false);
        return new Settings(
                List.of(spec),
                List.of(),
                SIDECARS,
                true,
                true,
                STEP_MS,
                1,
                List.of(),
                false,
                LIMITS,
                contract,
                new Goal(1, 0, 0));
    }

    /** Checks each window of the contract: at most capacity times overload factor, plus random variation. */
    private static void assertWithinBudget(List<Arrival> arrivals, Contract contract, double capacityPerMs) {
        ArrayDeque<Arrival> window = new ArrayDeque<>();
        double inWindow = 0;
        for (Arrival next : arrivals) {
            window.add(next);
            inWindow += next.work;
            while (next.atMs - window.peek().atMs > contract.overloadMs()) {
                inWindow -= window.poll().work;
            }
            double coldFraction = window.peek().atMs / contract.coldMs();
            double capacity = capacityPerMs * (contract.coldFrom() + (1 - contract.coldFrom()) * coldFraction);
            double budget = contract.overloadFactor() * capacity * contract.overloadMs();
            double allowed = budget + 2 * Math.sqrt(budget) + 2;
            assertTrue(inWindow <= allowed, inWindow + " mean requests to " + next.atMs + " ms, allowed " + allowed);
        }
    }

    /** The cold server is the only one left, so its budget and not the demand bounds what it gets. */
    @Test
    void requestsWithoutACostHintAreChargedAsTheMean() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 1);
        sidecar.listReady(2);
        int sentBefore = 0;
        for (int i = 0; i < 100; i++) {
            if (i == 50) {
                sidecar.updateList(ListKind.FULL, FakeSidecar.upstream(1, Status.READY, sidecar.now));
                sentBefore = sidecar.sent.size();
            }
            sidecar.request(0, 0, 4000, false, i < 50 ? MEAN_MS : 0);
            for (double elapsedMs = 0; elapsedMs < 100; elapsedMs += STEP_MS) {
                sidecar.advance(STEP_MS);
                answerDue(sidecar, 0);
            }
        }
        int sent = sidecar.sent.size() - sentBefore;
        assertTrue(sent > 0 && sent < 25, sent + " of 50 to a server at a quarter to five eighths of its capacity");
        assertEquals(List.of(), sidecar.violations);
    }

    /** Records the attempts from index {@code before} that went to the started server after its start. */
    private static void recordArrivals(
            FakeSidecar sidecar, int before, double work, double elapsedMs, List<Arrival> arrivals) {
        for (FakeSidecar.SentAttempt sent : sidecar.sent.subList(before, sidecar.sent.size())) {
            if (sent.upstream == 1 && elapsedMs >= BEFORE_START_MS) {
                arrivals.add(new Arrival(elapsedMs - BEFORE_START_MS, work / MEAN_MS));
            }
        }
    }

    /** Answers due attempts: {@code silent} servers never answer, and the started one takes twice the time. */
    private static void answerDue(FakeSidecar sidecar, int silent) {
        for (FakeSidecar.SentAttempt attempt : sidecar.pendingAttempts()) {
            if (attempt.upstream > 1 + silent && sidecar.now - attempt.atMs >= MEAN_MS
                    || attempt.upstream == 1 && sidecar.now - attempt.atMs >= 2 * MEAN_MS) {
                sidecar.end(attempt, Outcome.OK);
            }
        }
    }
}
