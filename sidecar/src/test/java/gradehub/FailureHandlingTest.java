package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Reactions to faults, overload, cold starts and list changes: each begins on its condition and ends again. */
class FailureHandlingTest {

    private static final Limits LIMITS = new Limits(4, true, true, false, 0);

    /** Returns the outcome of an attempt of this age, or null while the upstream does not answer. */
    private interface OutcomeModel {
        Outcome outcome(FakeSidecar.SentAttempt attempt, double ageMs);
    }

    private static final OutcomeModel HEALTHY = (attempt, ageMs) -> ageMs >= 50 ? Outcome.OK : null;

    /** Issues one request each {@code everyMs}, of each class in turn, and ends the attempts as the model says. */
    private static void runLoad(FakeSidecar sidecar, double ms, double everyMs, OutcomeModel model) {
        int classes = sidecar.settings.classes().size();
        double endMs = sidecar.now + ms;
        for (int i = 0; sidecar.now < endMs; i++) {
            sidecar.request(i % classes);
            for (double elapsedMs = 0; elapsedMs < everyMs; elapsedMs += TestSettings.TICK_MS) {
                sidecar.advance(TestSettings.TICK_MS);
                for (FakeSidecar.SentAttempt attempt : sidecar.pendingAttempts()) {
                    Outcome outcome = model.outcome(attempt, sidecar.now - attempt.atMs);
                    if (outcome != null) {
                        sidecar.end(attempt, outcome);
                    }
                }
            }
        }
    }

    private static OutcomeModel onlyAt(int upstream, OutcomeModel faulty) {
        return (attempt, ageMs) -> (attempt.upstream == upstream ? faulty : HEALTHY).outcome(attempt, ageMs);
    }

    private static long sentTo(FakeSidecar sidecar, int upstream, double sinceMs) {
        return sidecar.sent.stream()
                .filter(s -> s.upstream == upstream && s.atMs >= sinceMs)
                .count();
    }

    private static FakeSidecar sidecar(int upstreams) {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 5);
        sidecar.listReady(upstreams);
        runLoad(sidecar, 5000, 10, HEALTHY);
        return sidecar;
    }

    private static void assertEjectedAndReadmitted(OutcomeModel fault) {
        FakeSidecar sidecar = sidecar(5);
        runLoad(sidecar, 1000, 10, onlyAt(2, fault));
        double later = sidecar.now;
        runLoad(sidecar, 8000, 10, onlyAt(2, fault));
        assertTrue(sentTo(sidecar, 2, later) <= 12, "trial attempts only: " + sentTo(sidecar, 2, later));
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 is ejected")));
        runLoad(sidecar, 15_000, 10, HEALTHY);
        long last = sentTo(sidecar, 2, sidecar.now - 5000);
        assertTrue(last > 10, "attempts after readmission: " + last);
        assertTrue(sidecar.logs.stream().anyMatch(line -> line.startsWith("upstream 2 answers again")));
        assertTrue(sidecar.served > 0.95 * (sidecar.served + sidecar.refused + sidecar.failed));
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void anUnresponsiveUpstreamIsEjectedAndReadmitted() {
        assertEjectedAndReadmitted((attempt, ageMs) -> null);
    }

    @Test
    void anUpstreamThatFailsAtOnceIsEjectedAndReadmitted() {
        assertEjectedAndReadmitted((attempt, ageMs) -> Outcome.ERROR);
    }

    @Test
    void anUnreachableUpstreamIsEjectedAndReadmitted() {
        assertEjectedAndReadmitted((attempt, ageMs) -> ageMs >= 100 ? Outcome.CONNECT_FAILED : null);
    }

    @Test
    void anUpstreamThatRejectsIsEjectedAndReadmitted() {
        assertEjectedAndReadmitted((attempt, ageMs) -> Outcome.REJECTED);
    }

    @Test
    void whenAllRequestsAreUnsafeAnUnresponsiveUpstreamIsTriedRarelyAndReadmitted() {
        // If unsafe requests were never sent as trials, an upstream ejected once would never be readmitted.
        FakeSidecar sidecar =
                new FakeSidecar(TestSettings.settings(TestSettings.requestClass(Effect.UNSAFE, Group.ALL, 1)), 5);
        sidecar.listReady(5);
        runLoad(sidecar, 5000, 10, HEALTHY);
        runLoad(sidecar, 2000, 10, onlyAt(2, (attempt, ageMs) -> null));
        double later = sidecar.now;
        runLoad(sidecar, 8000, 10, onlyAt(2, (attempt, ageMs) -> null));
        assertTrue(sentTo(sidecar, 2, later) <= 6, "trial attempts only: " + sentTo(sidecar, 2, later));
        runLoad(sidecar, 10_000, 10, HEALTHY);
        assertTrue(sentTo(sidecar, 2, sidecar.now - 3000) > 20);
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void anUpstreamThatRejectsOneClassIsEjectedForThatClassAlone() {
        FakeSidecar sidecar = new FakeSidecar(
                TestSettings.settings(
                        TestSettings.requestClass(Effect.SAFE, Group.ALL, 1),
                        TestSettings.requestClass(Effect.UNSAFE, Group.ALL, 1)),
                5);
        sidecar.listReady(5);
        runLoad(sidecar, 5000, 10, HEALTHY);
        OutcomeModel rejectsOneClass =
                (attempt, ageMs) -> attempt.upstream <= 2 && sidecar.classOf(attempt.request) == 1
                        ? Outcome.REJECTED
                        : HEALTHY.outcome(attempt, ageMs);
        runLoad(sidecar, 1000, 10, rejectsOneClass);
        double later = sidecar.now;
        runLoad(sidecar, 8000, 10, rejectsOneClass);
        assertTrue(sentTo(sidecar, 1, 2, later) <= 16, "trial attempts only: " + sentTo(sidecar, 1, 2, later));
        assertTrue(
                sentTo(sidecar, 0, 2, later) > 40,
                "attempts of the other class go on: " + sentTo(sidecar, 0, 2, later));
        runLoad(sidecar, 15_000, 10, HEALTHY);
        assertTrue(sentTo(sidecar, 1, 2, sidecar.now - 5000) > 20, "attempts of the class after readmission");
        assertEquals(0, sidecar.refused + sidecar.failed);
        assertEquals(List.of(), sidecar.violations);
    }

    /** Counts the attempts of a class at the upstreams with ids up to {@code lastUpstream}. */
    private static long sentTo(FakeSidecar sidecar, int requestClass, int lastUpstream, double sinceMs) {
        return sidecar.sent.stream()
                .filter(s ->
                        s.upstream <= lastUpstream && s.atMs >= sinceMs && sidecar.classOf(s.request) == requestClass)
                .count();
    }

    @Test
    void whenMostUpstreamsFailTheyAreStillTried() {
        FakeSidecar sidecar = sidecar(5);
        runLoad(sidecar, 10_000, 20, (attempt, ageMs) -> Outcome.ERROR);
        double from = sidecar.now;
        runLoad(sidecar, 3000, 20, HEALTHY);
        assertTrue(sidecar.sent.stream()
                        .filter(s -> s.atMs >= from && s.outcome == Outcome.OK)
                        .count()
                > 20);
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void aSlowAttemptIsHedgedOnlyWhereAllowed() {
        for (boolean hedging : new boolean[] {true, false}) {
            FakeSidecar sidecar = new FakeSidecar(
                    TestSettings.settings(
                            1,
                            new Limits(4, hedging, true, false, 0),
                            false,
                            List.of(),
                            TestSettings.requestClass(Effect.SAFE, Group.ALL, 1)),
                    5);
            sidecar.listReady(5);
            runLoad(sidecar, 5000, 10, HEALTHY);
            double from = sidecar.now;
            runLoad(sidecar, 2000, 10, onlyAt(2, (attempt, ageMs) -> null));
            boolean hedged = sidecar.sent.stream().anyMatch(s -> s.atMs >= from && s.number > 0 && s.atMs < from + 500);
            assertEquals(hedging, hedged);
            assertEquals(List.of(), sidecar.violations);
        }
    }

    @Test
    void slowUpstreamsGetFewerConcurrentAttemptsAndRecover() {
        FakeSidecar sidecar = sidecar(5);
        runLoad(sidecar, 10_000, 10, (attempt, ageMs) -> ageMs >= 400 ? Outcome.OK : null);
        assertTrue(
                sidecar.pendingAttempts().size() <= 10,
                "concurrent attempts at slow upstreams: "
                        + sidecar.pendingAttempts().size());
        assertTrue(sidecar.refused > 0);
        runLoad(sidecar, 20_000, 10, HEALTHY);
        int refused = sidecar.refused;
        runLoad(sidecar, 5000, 10, HEALTHY);
        assertEquals(refused, sidecar.refused);
        assertTrue(sidecar.logs.contains("all members at their limits: shedding requests"));
        assertTrue(sidecar.logs.contains("load shedding ended"));
    }

    @Test
    void connectionResetsDoNotLowerTheConcurrencyLimit() {
        FakeSidecar sidecar =
                new FakeSidecar(TestSettings.settings(TestSettings.requestClass(Effect.UNSAFE, Group.ALL, 1)), 5);
        sidecar.listReady(1);
        runLoad(sidecar, 5000, 50, HEALTHY);
        int concurrent = 6;
        for (int i = 0; i < concurrent; i++) {
            sidecar.request(0);
        }
        assertEquals(concurrent, sidecar.pendingAttempts().size(), "a healthy upstream takes all of them");
        sidecar.pendingAttempts().forEach(attempt -> sidecar.end(attempt, Outcome.RESET));
        runLoad(sidecar, 100, 5, (attempt, ageMs) -> Outcome.RESET);
        for (int i = 0; i < concurrent; i++) {
            sidecar.request(0);
        }
        assertEquals(concurrent, sidecar.pendingAttempts().size(), "the limit is unchanged");
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void retriesAreShedFirstUnderOverload() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 5);
        sidecar.listReady(2);
        runLoad(sidecar, 5000, 20, HEALTHY);
        List<Integer> firstTries = new ArrayList<>();
        List<Integer> retries = new ArrayList<>();
        for (int i = 0; i < 1500; i++) {
            for (int k = 0; k < 3; k++) {
                firstTries.add(sidecar.request(0, 0, 4000, false));
                retries.add(sidecar.request(0, 0, 4000, true));
            }
            sidecar.advance(20);
            List<FakeSidecar.SentAttempt> out = sidecar.pendingAttempts();
            // Three of the six that arrived.
            for (FakeSidecar.SentAttempt attempt : out.subList(0, Math.min(3, out.size()))) {
                sidecar.end(attempt, Outcome.OK);
            }
        }
        assertTrue(
                servedFraction(sidecar, firstTries) > 2 * servedFraction(sidecar, retries),
                servedFraction(sidecar, firstTries) + ", " + servedFraction(sidecar, retries));
    }

    @Test
    void permanentlySlowUpstreamsAreUsedAgainInBoundedTime() {
        FakeSidecar sidecar = sidecar(5);
        OutcomeModel slow = (attempt, ageMs) -> ageMs >= 200 ? Outcome.OK : null;
        runLoad(sidecar, 60_000, 20, slow);
        int served = sidecar.served;
        runLoad(sidecar, 5000, 20, slow);
        assertTrue(sidecar.served - served > 200, "served of 250 requests: " + (sidecar.served - served));
    }

    private static double servedFraction(FakeSidecar sidecar, List<Integer> requests) {
        return requests.stream()
                        .filter(id -> sidecar.attemptsOf(id).stream().anyMatch(s -> s.outcome == Outcome.OK))
                        .count()
                / (double) requests.size();
    }

    @Test
    void theClassWithTheHigherWorthIsServedFirstUnderOverload() {
        Settings settings = TestSettings.settings(
                TestSettings.requestClass(Effect.SAFE, Group.ALL, 1),
                TestSettings.requestClass(Effect.SAFE, Group.ALL, 5));
        FakeSidecar sidecar = new FakeSidecar(settings, 5);
        sidecar.listReady(2);
        runLoad(sidecar, 5000, 20, HEALTHY);
        double from = sidecar.now;
        runLoad(sidecar, 10_000, 5, (attempt, ageMs) -> ageMs >= 150 ? Outcome.OK : null);
        int[] sent = new int[2];
        sidecar.sent.stream().filter(s -> s.atMs > from + 2000).forEach(s -> sent[(s.request + 1) % 2]++);
        assertTrue(sent[1] > 2 * sent[0], sent[1] + " and " + sent[0]);
    }

    @Test
    void aColdUpstreamGetsAReducedShareAcrossSidecars() {
        List<FakeSidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Settings settings = TestSettings.settings(
                    3, LIMITS, false, List.of(), TestSettings.requestClass(Effect.SAFE, Group.ALL, 1));
            FakeSidecar sidecar = new FakeSidecar(settings, i);
            sidecar.listReady(5);
            runLoad(sidecar, 5000, 10, HEALTHY);
            sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(9, Status.READY, sidecar.now - 100));
            sidecars.add(sidecar);
        }
        double from = sidecars.get(0).now;
        double warmPerS = 0;
        double coldPerS = 0;
        for (FakeSidecar sidecar : sidecars) {
            runLoad(sidecar, 2000, 10, HEALTHY);
            coldPerS += sentTo(sidecar, 9, from) / 2.0;
            warmPerS += sentTo(sidecar, 1, from) / 2.0;
        }
        // Slow start begins at a quarter of the capacity and the warm upstreams have room, which makes about a third of
        // the rate of a warm upstream.
        assertTrue(coldPerS > 0.1 * warmPerS && coldPerS < 0.7 * warmPerS, coldPerS + " of " + warmPerS);
        for (FakeSidecar sidecar : sidecars) {
            runLoad(sidecar, 20_000, 10, HEALTHY);
            assertTrue(sentTo(sidecar, 9, sidecar.now - 3000) > 20, "a warm share after slow start");
        }
    }

    @Test
    void requestsWaitOnAnEmptyListThenAreRefusedAndAreServedOnceUpstreamsAreListed() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 5);
        sidecar.updateList(ListKind.CACHED);
        int early = sidecar.request(0);
        int late = sidecar.request(0);
        sidecar.advance(400);
        assertFalse(sidecar.ended(early));
        sidecar.advance(700);
        assertTrue(sidecar.ended(early) && sidecar.ended(late));
        int third = sidecar.request(0);
        sidecar.listReady(2);
        assertEquals(1, sidecar.attemptsOf(third).size());
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void fewSidecarsUseAllUpstreamsAndManyUseSmallSubsets() {
        assertEquals(
                14, sidecar(14).sent.stream().map(s -> s.upstream).distinct().count());
        FakeSidecar oneOfMany = oneOf(100, TestSettings.requestClass(Effect.SAFE, Group.ALL, 1));
        oneOfMany.listReady(60);
        runLoad(oneOfMany, 10_000, 10, HEALTHY);
        assertEquals(10, oneOfMany.sent.stream().map(s -> s.upstream).distinct().count());
    }

    private static FakeSidecar oneOf(int sidecars, Balancer.RequestClass... classes) {
        return new FakeSidecar(TestSettings.settings(sidecars, LIMITS, false, List.of(), classes), 5);
    }

    @Test
    void rareRequestsAreServedAndSetNoTimersWhileIdle() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 5);
        sidecar.listReady(3);
        for (int i = 0; i < 20; i++) {
            int request = sidecar.request(0);
            sidecar.advance(50);
            sidecar.end(sidecar.lastAttempt(), Outcome.OK);
            assertTrue(sidecar.ended(request));
            sidecar.advance(30_000);
        }
        assertTrue(
                sidecar.actions.size() < 20 * 4, "an idle sidecar sets no timers; actions: " + sidecar.actions.size());
    }

    @Test
    void aRestartedUpstreamGoesThroughSlowStartAgain() {
        FakeSidecar sidecar = sidecar(3);
        sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(1, Status.READY, sidecar.now));
        double from = sidecar.now;
        runLoad(sidecar, 1000, 10, HEALTHY);
        assertTrue(sentTo(sidecar, 1, from) < 0.7 * sentTo(sidecar, 2, from), "a reduced share after the restart");
    }

    @Test
    void invalidArgumentsAreRejectedWithAMessage() {
        assertMessage("cold share", () -> new Balancer.Contract(0, 1, 1, 1, 1));
        assertMessage("at least one request class", () -> TestSettings.settings(new RequestClass[0]));
        assertMessage("at least one attempt", () -> new Limits(0, true, true, true, 0));
        assertMessage("weight", () -> new Balancer.Upstream(1, Status.READY, 0, 0, 0, 0, -1));
        assertMessage("status", () -> new Balancer.Upstream(1, null, 0, 0, 0, 0, 1));
    }

    private static void assertMessage(String part, Runnable call) {
        RuntimeException thrown = assertThrows(RuntimeException.class, call::run);
        assertTrue(thrown.getMessage().contains(part), thrown.getMessage());
    }
}
