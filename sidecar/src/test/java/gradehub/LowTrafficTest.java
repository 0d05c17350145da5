package gradehub;

import static gradehub.LowTraffic.LIMITS;
import static gradehub.LowTraffic.SAFE;
import static gradehub.LowTraffic.SIDECARS;
import static gradehub.LowTraffic.serve;
import static gradehub.LowTraffic.settings;
import static gradehub.LowTraffic.sidecar;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Regression tests for faults found in deployments of many sidecars, each with few requests. */
class LowTrafficTest {

    @Test
    void aRetryAfterItsLatencyTargetIsRefusedAtOnce() {
        // Incident i8eec8b: client retries past their latency target were sent, scored nothing and prolonged the
        // overload.
        FakeSidecar sidecar = sidecar(false, SAFE);
        sidecar.listReady(3);
        for (int i = 0; i < 5; i++) {
            sidecar.request(0, 0, 2500 + i, false);
            serve(sidecar, 50);
        }
        startAndDisconnect(sidecar);
        sidecar.advance(800);
        startAndDisconnect(sidecar);
        sidecar.advance(300);
        int sent = sidecar.sent.size();
        int late = sidecar.request(0, 0, 2900, false); // 1,100 of 4,000 ms have passed; the target is 1,000
        assertTrue(sidecar.ended(late));
        assertEquals(sent, sidecar.sent.size());
        // More time left than the first tries stated, but a retry all the same: 300 ms have passed.
        int early = sidecar.request(0, 0, 3700, false);
        assertEquals(1, sidecar.attemptsOf(early).size());
        assertEquals(700, sidecar.lastAttempt().timeoutMs, 3 * TestSettings.TICK_MS);
    }

    /** Starts a first try whose client disconnects at once and may retry. */
    private static void startAndDisconnect(FakeSidecar sidecar) {
        sidecar.disconnectClient(sidecar.request(0, 0, 2500, false));
    }

    /** First tries with short timeouts were taken for retries past their latency target, and all were refused. */
    @Test
    void aShortTimeoutIsNoRetryWhereNoEarlierTryWentUnserved() {
        FakeSidecar sidecar = sidecar(false, SAFE);
        sidecar.listReady(3);
        for (int i = 0; i < 20; i++) {
            sidecar.request(0, 0, 2500, false);
            serve(sidecar, 50);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    1,
                    sidecar.attemptsOf(sidecar.request(0, 0, 500 + 20 * i, false))
                            .size());
            serve(sidecar, 50);
        }
    }

    @Test
    void usualTimeoutsAreTrackedPerClass() {
        // A class that must not run twice states its whole deadline as its timeout; beside it the first tries of other
        // classes looked like retries.
        FakeSidecar sidecar = sidecar(false, SAFE, TestSettings.requestClass(Effect.UNSAFE, Group.ALL, 1));
        sidecar.listReady(3);
        for (int i = 0; i < 20; i++) {
            int unsafe = sidecar.request(1, 0, 4000, false);
            serve(sidecar, 50);
            int safe = sidecar.request(0, 0, 2500, false);
            serve(sidecar, 50);
            assertEquals(1, sidecar.attemptsOf(unsafe).size());
            assertEquals(1, sidecar.attemptsOf(safe).size());
        }
    }

    @Test
    void theElapsedTimeOfMarkedRetriesIsInferredToo() {
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(3);
        assertTrue(sidecar.ended(sidecar.request(0, 0, 2500, true)));
        assertFalse(sidecar.ended(sidecar.request(0, 0, 2500, false)));
    }

    @Test
    void aRequestThatCostsMoreThanTheTimeLeftIsRefusedAtOnce() {
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(3);
        assertTrue(sidecar.ended(sidecar.request(0, 0, 4000, false, 1500)));
        assertFalse(sidecar.ended(sidecar.request(0, 0, 4000, false, 500)));
        assertEquals(1, sidecar.sent.size());
    }

    @Test
    void oneSlowAttemptEjectsNoUpstream() {
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(3);
        for (int i = 0; i < 10; i++) {
            sidecar.request(0);
            serve(sidecar, 50);
        }
        sidecar.request(0);
        sidecar.advance(250); // 5 times the median latency
        assertEquals(List.of(), sidecar.logs);
        sidecar.advance(350); // 12 times
        assertTrue(sidecar.logs.get(0).contains("is ejected: no answer for"));
    }

    @Test
    void sharesAdaptAtOneRequestPerSecond() {
        FakeSidecar sidecar = new FakeSidecar(settings(1, true, LIMITS, false, new Goal(1, 0, 0), SAFE), 7);
        sidecar.listReady(2);
        for (int i = 0; i < 120; i++) {
            sidecar.request(0);
            double latencyMs = sidecar.lastAttempt().upstream == 1 ? 100 : 300;
            serve(sidecar, latencyMs);
            sidecar.advance(1000 - latencyMs);
        }
        long toFaster =
                sidecar.sent.stream().skip(60).filter(s -> s.upstream == 1).count();
        assertTrue(toFaster > 38, "of 60 to the faster upstream: " + toFaster);
    }

    @Test
    void sharesStartAtTheListedWeight() {
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.updateList(
                ListKind.FULL,
                new Upstream(1, Status.READY, 0, 0, 0, 0, 1),
                new Upstream(2, Status.READY, 0, 0, 0, 0, 0.25));
        for (int i = 0; i < 400; i++) {
            sidecar.request(0);
            serve(sidecar, 1);
        }
        long toLarger = sidecar.sent.stream().filter(s -> s.upstream == 1).count();
        assertEquals(0.8, toLarger / 400.0, 0.06);
    }

    @Test
    void anUpstreamThatRejectedIsAvoidedForAWhile() {
        // Incident i8eec8b: many sidecars at once each sent more requests to an overloaded upstream.
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(2);
        for (int i = 0; i < 10; i++) {
            sidecar.request(0);
            serve(sidecar, 50);
            sidecar.advance(200);
        }
        sidecar.request(0);
        int overloaded = sidecar.lastAttempt().upstream;
        sidecar.end(sidecar.lastAttempt(), Outcome.REJECTED);
        double from = sidecar.now;
        for (int i = 0; i < 5; i++) {
            sidecar.request(0);
            serve(sidecar, 50);
        }
        assertEquals(
                0,
                sidecar.sent.stream()
                        .filter(s -> s.atMs > from && s.upstream == overloaded)
                        .count());
        sidecar.advance(1500);
        for (int i = 0; i < 30; i++) {
            sidecar.request(0);
            serve(sidecar, 50);
        }
        assertTrue(sidecar.sent.stream().anyMatch(s -> s.atMs > from && s.upstream == overloaded));
    }

    @Test
    void aStarvedClassGetsAMinimumAndTheNewestRequestsAreServedFirst() {
        // On the overload day of cuyo-acelero only 5% of the requests of the class with the least worth were served,
        // and
        // older requests of a class were served before newer ones.
        RequestClass highWorth = TestSettings.requestClass(Effect.SAFE, Group.ALL, 5);
        FakeSidecar sidecar =
                new FakeSidecar(settings(1, true, LIMITS, false, new Goal(0.4, 0.6, 0), highWorth, SAFE), 7);
        sidecar.listReady(1);
        List<Integer> lowWorth = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            sidecar.request(0);
            lowWorth.add(sidecar.request(1));
            sidecar.advance(20);
            List<FakeSidecar.SentAttempt> out = sidecar.pendingAttempts();
            if (!out.isEmpty()) {
                sidecar.end(out.get(0), Outcome.OK);
            }
        }
        double served = lowWorth.stream()
                        .filter(id -> sidecar.attemptsOf(id).stream().anyMatch(s -> s.outcome == Outcome.OK))
                        .count()
                / (double) lowWorth.size();
        assertTrue(served > 0.25, "served fraction of the class with less worth: " + served);
        assertEquals(List.of(), sidecar.violations);
    }

    @Test
    void newUpstreamsReplaceMembersUntilSubsetsCoverTheListEvenly() {
        // Incident i0a695e: the list grew from 47 to 130 upstreams, and full subsets never included a new one.
        int newMembers = 0;
        for (int seed = 0; seed < 20; seed++) {
            FakeSidecar sidecar =
                    new FakeSidecar(settings(SIDECARS, true, LIMITS, false, new Goal(1, 0, 0), SAFE), seed);
            sidecar.listReady(20);
            Upstream[] added = new Upstream[20];
            for (int i = 0; i < 20; i++) {
                added[i] = FakeSidecar.upstream(101 + i, Status.READY, 0);
            }
            sidecar.updateList(ListKind.DELTA, added);
            for (int i = 0; i < 200; i++) {
                sidecar.request(0);
                serve(sidecar, 20);
            }
            newMembers += (int) sidecar.sent.stream()
                    .map(s -> s.upstream)
                    .filter(id -> id > 100)
                    .distinct()
                    .count();
            assertEquals(
                    10, sidecar.sent.stream().map(s -> s.upstream).distinct().count());
        }
        assertTrue(
                newMembers > 60 && newMembers < 120,
                "of 200 places about four in ten go to new upstreams: " + newMembers);
    }

    @Test
    void whenMostAttemptsTimeOutMostRequestsAreRefusedUntilAttemptsSucceed() {
        // Incidents i77f1f4 and i8eec8b: upstreams that continue work past its deadline never recovered from overload.
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(12);
        for (int i = 0; i < 20; i++) {
            sidecar.request(0);
            sidecar.advance(1200); // no answer
        }
        int sent = sidecar.sent.size();
        for (int i = 0; i < 50; i++) {
            sidecar.request(0);
            sidecar.advance(100);
        }
        assertTrue(sidecar.sent.size() - sent < 35, "of 50 sent: " + (sidecar.sent.size() - sent));
        for (int i = 0; i < 400; i++) {
            sidecar.request(0);
            sidecar.advance(50);
            sidecar.pendingAttempts().forEach(attempt -> sidecar.end(attempt, Outcome.OK));
        }
        sent = sidecar.sent.size();
        for (int i = 0; i < 50; i++) {
            sidecar.request(0);
            sidecar.advance(50);
            sidecar.pendingAttempts().forEach(attempt -> sidecar.end(attempt, Outcome.OK));
        }
        assertEquals(50, sidecar.sent.size() - sent);
    }

    @Test
    void timeoutsOfTheFirstAttemptsDoNotDistortTheEstimates() {
        // Each such timeout moved the estimate of the usual latency by its whole value, which left it at 0 for good.
        FakeSidecar sidecar = sidecar(true, SAFE);
        sidecar.listReady(2);
        for (int i = 0; i < 6; i++) {
            sidecar.request(0);
            sidecar.advance(2000);
        }
        for (int i = 0; i < 60; i++) {
            sidecar.request(0);
            sidecar.advance(50);
            sidecar.pendingAttempts().forEach(attempt -> sidecar.end(attempt, Outcome.OK));
            sidecar.advance(950);
        }
        int served = sidecar.served;
        for (int i = 0; i < 20; i++) {
            sidecar.request(0);
            sidecar.advance(50);
            sidecar.pendingAttempts().forEach(attempt -> sidecar.end(attempt, Outcome.OK));
            sidecar.advance(950);
        }
        assertEquals(20, sidecar.served - served);
    }

    @Test
    void manySidecarsDoNotBurstOnAColdUpstream() {
        // With a full token bucket each, all sidecars could send one request at once to an upstream that had just
        // started.
        int burst = 0;
        for (int seed = 0; seed < 40; seed++) {
            FakeSidecar sidecar =
                    new FakeSidecar(settings(SIDECARS, true, LIMITS, false, new Goal(1, 0, 0), SAFE), seed);
            sidecar.listReady(4);
            for (int i = 0; i < 20; i++) {
                sidecar.request(0);
                serve(sidecar, 50);
                sidecar.advance(450);
            }
            sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(9, Status.READY, sidecar.now));
            double from = sidecar.now;
            for (int i = 0; i < 20; i++) {
                sidecar.request(0);
                serve(sidecar, 50);
            }
            burst += (int) sidecar.sent.stream()
                    .filter(s -> s.atMs >= from && s.upstream == 9)
                    .count();
        }
        // 40 sidecars, 2 requests per second, 5 members, a quarter of capacity: at 1.5 times the mean about 6 per
        // second.
        assertTrue(burst <= 14, "sent in the first second: " + burst);
        assertTrue(burst > 0, "the cold upstream gets some requests");
    }
}
