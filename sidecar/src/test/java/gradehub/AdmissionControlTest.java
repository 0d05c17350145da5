package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {

    private static final double TYPICAL_MS = 100;

    private final ClassStats ordinary = stats(1);
    private final ClassStats valuable = stats(4);
    private final AdmissionControl admission = new AdmissionControl(new Goal(0.5, 0.2, 0), List.of(ordinary, valuable));

    private static ClassStats stats(double worth) {
        ClassStats stats =
                new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, worth), TestSettings.TICK_MS);
        stats.medianMs = TYPICAL_MS;
        stats.offered = 100;
        stats.served = 100;
        return stats;
    }

    private static Call call(ClassStats stats, double value, double costMs) {
        return new Call(new Balancer.Request(1, 0, 0, 4000, false, costMs), stats, value, 0, 1000, 1000);
    }

    @Test
    void answerValueIsTheClassWorthTimesTheWeightOfTheWhole() {
        assertEquals(0.5, admission.answerValue(ordinary));
        assertEquals(2, admission.answerValue(valuable));
    }

    @Test
    void worstServedClassGainsValueOnceItIsPoorlyServed() {
        ordinary.served = 91;
        assertEquals(0.5, admission.answerValue(ordinary));
        ordinary.served = 80; // the bonus: 0.2 of the offered worth of 500, divided by the 100 requests of the class
        assertEquals(1.5, admission.answerValue(ordinary));
        valuable.served = 70;
        assertEquals(0.5, admission.answerValue(ordinary));
        assertEquals(3, admission.answerValue(valuable));
    }

    @Test
    void isTooLateBelowHalfATypicalLatencyOrTheCostHint() {
        assertFalse(AdmissionControl.isTooLate(949, call(ordinary, 1, 0)));
        assertTrue(AdmissionControl.isTooLate(950, call(ordinary, 1, 0)));
        assertFalse(AdmissionControl.isTooLate(799, call(ordinary, 1, 200)));
        assertTrue(AdmissionControl.isTooLate(800, call(ordinary, 1, 200)));
    }

    @Test
    void throttlesAPartOfTheRequestsOnceMostAttemptsAreLate() {
        assertFalse(admission.shouldThrottle(0.999));
        for (int i = 0; i < 99; i++) {
            admission.attemptEnded(i < 24); // throttled above 1.4 * (1 + 24) / (1 + 99)
        }
        assertFalse(admission.shouldThrottle(0.34));
        assertTrue(admission.shouldThrottle(0.36));
        for (int tick = 0; tick < 100; tick++) {
            admission.tick(new NoOpActions());
        }
        assertFalse(admission.shouldThrottle(0.999));
    }

    @Test
    void refusesNothingWhileConnectionsAreFreeOrTheirLimitIsUnknown() {
        assertNull(admission.selectRefused(call(ordinary, 0.5, 0), 1_000_000, List.of()));
        admission.maxConnections = 100; // 12 are reserved for the requests of highest value
        assertNull(admission.selectRefused(call(ordinary, 0.5, 0), 88, List.of()));
    }

    @Test
    void requestsOfLowerValueNeedMoreFreeConnections() {
        admission.maxConnections = 100;
        Call low = call(ordinary, 0.5, 0); // a quarter of the best value: needs 9 free connections
        assertNull(admission.selectRefused(low, 91, List.of()));
        assertSame(low, admission.selectRefused(low, 92, List.of()));
        assertNull(admission.selectRefused(call(valuable, 2, 0), 100, List.of()));
    }

    @Test
    void refusesAQueuedRequestOfLowerValueInsteadOfTheNewOne() {
        admission.maxConnections = 100;
        Call low = call(ordinary, 0.4, 0);
        Call high = call(valuable, 2, 0);
        assertSame(low, admission.selectRefused(call(ordinary, 0.5, 0), 99, List.of(high, low)));
        Call lowest = call(ordinary, 0.1, 0);
        assertSame(lowest, admission.selectRefused(lowest, 99, List.of(high, low)));
    }

    @Test
    void logsTheStartAndTheEndOfRefusing() {
        List<String> logs = new ArrayList<>();
        NoOpActions actions = new NoOpActions() {
            @Override
            public void log(String line) {
                logs.add(line);
            }
        };
        admission.maxConnections = 100;
        for (int tick = 0; tick < 2; tick++) {
            admission.selectRefused(call(ordinary, 0.5, 0), 100, List.of());
            admission.tick(actions);
        }
        admission.selectRefused(call(valuable, 2, 0), 100, List.of());
        admission.tick(actions);
        assertEquals(
                List.of(
                        "client connections are running out: refusing requests of least value per time",
                        "client connections are available again"),
                logs);
    }
}
