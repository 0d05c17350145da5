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

/** What thirty sidecars together send to a server that has just started; none knows what the others do. */
class ColdFleetTest {

    private static final int SIDECARS = 30;
    private static final Limits LIMITS = new Limits(4, true, true, false, 0);
    private static final double MEAN_MS = 50; // of work
    private static final double STEP_MS = 5;
    private static final double QUIET_MS = 6000; // before the start
    private static final double COLD_MS = 20_000; // watched after it

    /** One request's arrival at the cold server; work in mean requests. */
    private record Arrival(double atMs, double work) {}

    /** A part of the fleet falls silent while the server is cold: what goes to it then is what was saved up. */
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
    void theSumOfAllStaysWithinTheBudget(int servers, double factor, int seed, int silent, double perServerS) {
        Random random = new Random(seed);
        Contract contract = new Contract(0.12, 24_000, factor, 2000, 10_000);
        Settings settings = settings(contract);
        List<FakeSidecar> fleet = new ArrayList<>();
        double[] weights = new double[SIDECARS];
        double sum = 0;
        for (int i = 0; i < SIDECARS; i++) {
            fleet.add(new FakeSidecar(settings, random.nextLong()));
            fleet.get(i).listReady(servers);
            weights[i] = -Math.log(1 - random.nextDouble()); // some ask several times the mean
            sum += weights[i];
        }
        double used = 0.6; // of what a warm server can do
        List<Arrival> arrivals = new ArrayList<>();
        for (double passed = 0; passed < QUIET_MS + COLD_MS; passed += STEP_MS) {
            boolean falls = passed > QUIET_MS + COLD_MS / 2;
            for (int i = 0; i < SIDECARS; i++) {
                FakeSidecar sidecar = fleet.get(i);
                if (passed == QUIET_MS) {
                    sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(1, Status.READY, sidecar.now));
                }
                if (random.nextDouble() < perServerS * servers * weights[i] / sum * STEP_MS / 1000) {
                    double work = MEAN_MS * Math.exp(random.nextGaussian() - 0.5); // some are several times the mean
                    int before = sidecar.sent.size();
                    sidecar.request(0, 0, 2000, false, work);
                    note(sidecar, before, work, passed, arrivals);
                }
                int before = sidecar.sent.size();
                answer(sidecar, falls ? silent : 0);
                sidecar.advance(STEP_MS);
                note(sidecar, before, MEAN_MS, passed, arrivals);
            }
        }
        assertFalse(arrivals.isEmpty(), "it is warmed up");
        fleet.forEach(sidecar -> assertEquals(List.of(), sidecar.violations));
        double capacityPerMs = perServerS / used / 1000;
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

    /** In each window of the contract the server gets what it can do by then, times the overload factor, and chance. */
    private static void assertWithinBudget(List<Arrival> arrivals, Contract contract, double capacityPerMs) {
        ArrayDeque<Arrival> window = new ArrayDeque<>();
        double inWindow = 0;
        for (Arrival next : arrivals) {
            window.add(next);
            inWindow += next.work;
            while (next.atMs - window.peek().atMs > contract.overloadMs()) {
                inWindow -= window.poll().work;
            }
            double age = window.peek().atMs / contract.coldMs();
            double present = capacityPerMs * (contract.coldFrom() + (1 - contract.coldFrom()) * age);
            double budget = contract.overloadFactor() * present * contract.overloadMs();
            double most = budget + 2 * Math.sqrt(budget) + 2;
            assertTrue(inWindow <= most, inWindow + " mean requests to " + next.atMs + " ms, allowed " + most);
        }
    }

    /** It is all that is left: what goes to it is what its budget allows, not what is asked for. */
    @Test
    void requestsWithoutAHintCountAsMuchAsTheOthers() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 1);
        sidecar.listReady(2);
        int sentBefore = 0;
        for (int i = 0; i < 100; i++) {
            if (i == 50) {
                sidecar.updateList(ListKind.FULL, FakeSidecar.upstream(1, Status.READY, sidecar.now));
                sentBefore = sidecar.sent.size();
            }
            sidecar.request(0, 0, 4000, false, i < 50 ? MEAN_MS : 0);
            for (double passed = 0; passed < 100; passed += STEP_MS) {
                sidecar.advance(STEP_MS);
                answer(sidecar, 0);
            }
        }
        int sent = sidecar.sent.size() - sentBefore;
        assertTrue(sent > 0 && sent < 25, sent + " of 50 to a server that is at a quarter to five eighths");
        assertEquals(List.of(), sidecar.violations);
    }

    /** Those sent since to the one that started, after its start. */
    private static void note(FakeSidecar sidecar, int before, double work, double passed, List<Arrival> arrivals) {
        for (FakeSidecar.SentAttempt sent : sidecar.sent.subList(before, sidecar.sent.size())) {
            if (sent.upstream == 1 && passed >= QUIET_MS) {
                arrivals.add(new Arrival(passed - QUIET_MS, work / MEAN_MS));
            }
        }
    }

    /** So many of those behind the one that started say nothing, and that one is slower than the others. */
    private static void answer(FakeSidecar sidecar, int silent) {
        for (FakeSidecar.SentAttempt attempt : sidecar.pendingAttempts()) {
            if (attempt.upstream > 1 + silent && sidecar.now - attempt.atMs >= MEAN_MS
                    || attempt.upstream == 1 && sidecar.now - attempt.atMs >= 2 * MEAN_MS) {
                sidecar.end(attempt, Outcome.OK);
            }
        }
    }
}
