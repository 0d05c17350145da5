package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Property tests of the rules: generated events with every combination of effect, group and limits. */
class RulesTest {

    static Stream<Arguments> combinations() {
        List<Arguments> combinations = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            for (Group group : effect == Effect.KEYED ? Group.values() : new Group[] {Group.ALL}) {
                for (boolean copies : new boolean[] {true, false}) {
                    for (boolean cancel : new boolean[] {true, false}) {
                        for (int attempts : new int[] {1, 4}) {
                            combinations.add(
                                    Arguments.of(effect, group, new Limits(attempts, copies, cancel, false, 0)));
                        }
                    }
                }
            }
        }
        return combinations.stream();
    }

    @ParameterizedTest
    @MethodSource("combinations")
    void generatedEventsViolateNoRule(Effect effect, Group group, Limits limits) {
        for (int seed = 0; seed < 8; seed++) {
            Settings settings = TestSettings.settings(
                    3, limits, seed % 2 == 0, List.of(), TestSettings.requestClass(effect, group, 1));
            FakeSidecar sidecar = new FakeSidecar(settings, seed);
            playRandomEvents(sidecar, new Random(seed), 1500);
            assertEquals(List.of(), sidecar.violations, "seed " + seed);
            assertEquals(0, sidecar.openRequests());
            assertTrue(sidecar.served > 0, "at least one request is served");
        }
    }

    /** Plays random events: requests with various time-outs, all outcomes, list updates, restarts, departed clients. */
    private static void playRandomEvents(FakeSidecar sidecar, Random random, int events) {
        sidecar.updateList(ListKind.CACHED);
        sidecar.listReady(1 + random.nextInt(14));
        Outcome[] outcomes = Outcome.values();
        int latestRequest = 0;
        for (int i = 0; i < events; i++) {
            List<FakeSidecar.SentAttempt> pending = sidecar.pendingAttempts();
            int roll = random.nextInt(100);
            if (roll < 35) {
                latestRequest = sidecar.request(0, 0, random.nextInt(10) == 0 ? 5 + random.nextInt(200) : 4000, false);
            } else if (roll < 70 && !pending.isEmpty()) {
                Outcome outcome = random.nextBoolean() ? Outcome.OK : outcomes[random.nextInt(outcomes.length)];
                sidecar.end(pending.get(random.nextInt(pending.size())), outcome);
            } else if (roll < 73) {
                Status[] statuses = Status.values();
                List<Upstream> entries = new ArrayList<>();
                for (int id = 1 + random.nextInt(3); id < 16; id += 1 + random.nextInt(5)) {
                    double startedMs = random.nextBoolean() ? 0 : sidecar.now - random.nextInt(12_000);
                    entries.add(FakeSidecar.upstream(id, statuses[random.nextInt(3)], startedMs));
                }
                sidecar.updateList(
                        random.nextInt(4) == 0 ? ListKind.FULL : ListKind.DELTA, entries.toArray(new Upstream[0]));
            } else if (roll < 74) {
                sidecar.updateList(ListKind.FAILED);
            } else if (roll < 76 && latestRequest > 0 && !sidecar.ended(latestRequest)) {
                sidecar.disconnectClient(latestRequest);
            } else {
                sidecar.advance(random.nextInt(40));
            }
        }
        sidecar.advance(5000);
    }

    @Test
    void fakeSidecarDetectsEachViolation() {
        assertDetected("drain", Effect.SAFE, (sidecar, request) -> {
            sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(1, Status.DRAINING, 0));
            sidecar.send(request, 1, 100);
        });
        assertDetected("repeat", Effect.UNSAFE, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.send(request, 2, 100);
        });
        assertDetected("repeat", Effect.UNSAFE, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.refuse(request, 0);
        });
        assertDetected("repeat", Effect.KEYED, (sidecar, request) -> {
            sidecar.send(request, 1, 100);
            sidecar.send(request, 2, 100);
        });
        assertDetected("lost", Effect.SAFE, (sidecar, request) -> {
            sidecar.refuse(request, 0);
            sidecar.fail(request);
        });
        assertDetected("lost", Effect.SAFE, (sidecar, request) -> sidecar.advance(10_000));
    }

    private interface Violation {
        void commit(FakeSidecar sidecar, int request);
    }

    private static void assertDetected(String rule, Effect effect, Violation violation) {
        FakeSidecar sidecar = new FakeSidecar(
                TestSettings.settings(TestSettings.requestClass(effect, Group.ZONE, 1)),
                1,
                (settings, seed, actions) -> new NoOpBalancer());
        sidecar.listReady(3);
        violation.commit(sidecar, sidecar.request(0));
        assertTrue(
                sidecar.violations.stream().anyMatch(found -> found.startsWith(rule)),
                rule + " not in " + sidecar.violations);
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 3);
        sidecar.listReady(3);
        int request = sidecar.request(0);
        FakeSidecar.SentAttempt attempt = sidecar.lastAttempt();
        sidecar.now += 50;
        sidecar.end(attempt, Outcome.OK);
        int before = sidecar.actions.size();
        sidecar.end(attempt, Outcome.ERROR);
        sidecar.balancer.clientDisconnected(sidecar.now, request);
        sidecar.balancer.clientDisconnected(sidecar.now, 999);
        sidecar.balancer.attemptEnded(
                sidecar.now, new Balancer.AttemptEnd(999, 0, 1, Outcome.OK, 1, true, new double[0]));
        sidecar.balancer.streamStarted(sidecar.now, 999, 0, 1);
        sidecar.balancer.probeEnded(sidecar.now, 999, Outcome.OK, 1, new double[0]);
        sidecar.balancer.peerMessage(sidecar.now, 1, new byte[3]);
        sidecar.balancer.timer(sidecar.now, 999);
        assertEquals(before, sidecar.actions.size());
    }

    @Test
    void requestWithLessTimeThanAControlTickIsRefusedAtOnce() {
        // Incident id7bbad: such a request waited for the next control tick and was answered late.
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 3);
        int request = sidecar.request(0, 0, 30, false);
        assertTrue(sidecar.ended(request));
        assertEquals(1, sidecar.refused);
    }

    @Test
    void startedStreamIsNeitherCancelledNorRetried() {
        Settings settings = TestSettings.settings(
                new Balancer.RequestClass("stream", 1000, 4000, 1, 0, Effect.SAFE, Group.ALL, 0, true));
        FakeSidecar sidecar = new FakeSidecar(settings, 3);
        sidecar.listReady(3);
        int request = sidecar.request(0);
        sidecar.now += 100;
        sidecar.balancer.streamStarted(sidecar.now, request, 0, 100);
        for (int i = 0; i < 50; i++) {
            sidecar.now += 70;
            sidecar.balancer.timer(sidecar.now, 1);
        }
        assertEquals(1, sidecar.attemptsOf(request).size());
        assertFalse(sidecar.actions.stream().anyMatch(action -> action.startsWith("cancel")));
    }

    @Test
    void sameSeedAndEventsGiveTheSameActionsWithoutSharedState() {
        FakeSidecar first = new FakeSidecar(TestSettings.safe(), 11);
        playRandomEvents(first, new Random(5), 1000);
        FakeSidecar other = new FakeSidecar(TestSettings.safe(), 12);
        playRandomEvents(other, new Random(6), 500);
        FakeSidecar repeated = new FakeSidecar(TestSettings.safe(), 11);
        playRandomEvents(repeated, new Random(5), 1000);
        assertEquals(first.actions, repeated.actions);
        assertFalse(first.actions.equals(other.actions));
    }
}
