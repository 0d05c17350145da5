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

    private final ClassStats cheap = stats(1);
    private final ClassStats dear = stats(4);
    private final AdmissionControl admission = new AdmissionControl(new Goal(0.5, 0.2, 0), List.of(cheap, dear));

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
    void worthIsThatOfTheClassInTheWhole() {
        assertEquals(0.5, admission.worth(cheap));
        assertEquals(2, admission.worth(dear));
    }

    @Test
    void theWorstServedClassIsLiftedOnceItFaresBadly() {
        cheap.served = 91;
        assertEquals(0.5, admission.worth(cheap));
        cheap.served = 80; // the lift: 0.2 of 500 offered in worth, over the 100 requests of the class
        assertEquals(1.5, admission.worth(cheap));
        dear.served = 70;
        assertEquals(0.5, admission.worth(cheap));
        assertEquals(3, admission.worth(dear));
    }

    @Test
    void lessThanHalfATypicalLatencyOrTheCostByTheHintIsTooLate() {
        assertFalse(AdmissionControl.isTooLate(949, call(cheap, 1, 0)));
        assertTrue(AdmissionControl.isTooLate(950, call(cheap, 1, 0)));
        assertFalse(AdmissionControl.isTooLate(799, call(cheap, 1, 200)));
        assertTrue(AdmissionControl.isTooLate(800, call(cheap, 1, 200)));
    }

    @Test
    void aPartIsRefusedOnceMostAttemptsComeLate() {
        assertFalse(admission.throttles(0.999));
        for (int i = 0; i < 99; i++) {
            admission.attemptEnded(i < 24); // (1 + 24) / (1 + 99), times 1.4
        }
        assertFalse(admission.throttles(0.34));
        assertTrue(admission.throttles(0.36));
        for (int tick = 0; tick < 100; tick++) {
            admission.tick(new NoOpActions());
        }
        assertFalse(admission.throttles(0.999));
    }

    @Test
    void nothingIsRefusedWhereConnectionsAreLeftOrTheirNumberIsNotKnown() {
        assertNull(admission.displaced(call(cheap, 0.5, 0), 1_000_000, List.of()));
        admission.connections = 100; // 12 are kept for the worthiest
        assertNull(admission.displaced(call(cheap, 0.5, 0), 88, List.of()));
    }

    @Test
    void theLessARequestIsWorthTheMoreConnectionsMustBeLeft() {
        admission.connections = 100;
        Call poor = call(cheap, 0.5, 0); // a quarter of the best: 9 must be left
        assertNull(admission.displaced(poor, 91, List.of()));
        assertSame(poor, admission.displaced(poor, 92, List.of()));
        assertNull(admission.displaced(call(dear, 2, 0), 100, List.of()));
    }

    @Test
    void whatWaitsAndIsWorthLessGoesInPlaceOfTheNewOne() {
        admission.connections = 100;
        Call poor = call(cheap, 0.4, 0);
        Call rich = call(dear, 2, 0);
        assertSame(poor, admission.displaced(call(cheap, 0.5, 0), 99, List.of(rich, poor)));
        Call poorest = call(cheap, 0.1, 0);
        assertSame(poorest, admission.displaced(poorest, 99, List.of(rich, poor)));
    }

    @Test
    void theBeginningAndTheEndOfRefusingAreTold() {
        List<String> logs = new ArrayList<>();
        NoOpActions actions = new NoOpActions() {
            @Override
            public void log(String line) {
                logs.add(line);
            }
        };
        admission.connections = 100;
        for (int tick = 0; tick < 2; tick++) {
            admission.displaced(call(cheap, 0.5, 0), 100, List.of());
            admission.tick(actions);
        }
        admission.displaced(call(dear, 2, 0), 100, List.of());
        admission.tick(actions);
        assertEquals(
                List.of(
                        "clients run out of connections: refusing what is worth least for its time",
                        "clients have connections left again"),
                logs);
    }
}
