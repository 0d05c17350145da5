package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.ListKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Subscriptions to the list of upstreams: when a sidecar subscribes, and the delay after a failure. */
class SubscriptionTest {

    private static final Limits LIMITS = new Limits(4, true, true, false, 0);

    @Test
    void inPullModeASidecarSubscribesAndRetriesAfterRandomDelays() {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            FakeSidecar sidecar = new FakeSidecar(
                    TestSettings.settings(
                            20, LIMITS, true, List.of(), TestSettings.requestClass(Effect.SAFE, Group.ALL, 1)),
                    seed);
            assertEquals(1, sidecar.subscriptions);
            sidecar.updateList(ListKind.FAILED);
            sidecar.updateList(ListKind.FAILED);
            double from = sidecar.now;
            while (sidecar.subscriptions == 1) {
                sidecar.advance(1);
            }
            delays.add(sidecar.now - from);
            for (int i = 0; i < 10; i++) {
                sidecar.updateList(ListKind.FAILED);
                sidecar.advance(sidecar.settings.contract().listIntervalMs() / 2);
            }
            assertEquals(12, sidecar.subscriptions, "subscribes again within half of the list interval");
        }
        assertTrue(delays.stream().distinct().count() > 10, "delays are spread: " + delays);
        assertTrue(
                delays.stream().allMatch(delay -> delay >= 100 && delay <= 400), "delays are within bounds: " + delays);
    }

    /** A change must be known within 6 s of discovery becoming reachable, after any number of failed calls. */
    @Test
    void afterAnyNumberOfFailedCallsTheNextOneMeetsTheTimeLimit() {
        assertTrue(
                DiscoveryTimeouts.IDLE_TIMEOUT_MS
                                + DiscoveryTimeouts.MAX_DELAY_MS
                                + DiscoveryTimeouts.CONNECT_TIMEOUT_MS
                        < DiscoveryTimeouts.UPDATE_DEADLINE_MS - 1000,
                "at least one second is left for discovery to answer");
        assertTrue(DiscoveryTimeouts.IDLE_TIMEOUT_MS > 2000, "longer than the 2 s between empty lines");
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < 20; seed++) {
            FakeSidecar sidecar = new FakeSidecar(
                    TestSettings.settings(
                            20, LIMITS, true, List.of(), TestSettings.requestClass(Effect.SAFE, Group.ALL, 1)),
                    seed);
            for (int call = 1; call < 30; call++) {
                assertEquals(call, sidecar.subscriptions);
                sidecar.updateList(ListKind.FAILED);
                double from = sidecar.now;
                while (sidecar.subscriptions == call) {
                    sidecar.advance(1);
                }
                assertTrue(
                        sidecar.now - from <= DiscoveryTimeouts.MAX_DELAY_MS + 1,
                        "the delay is " + (sidecar.now - from));
                delays.add(sidecar.now - from);
            }
        }
        assertTrue(delays.stream().distinct().count() > 100, "delays are spread: " + delays);
    }
}
