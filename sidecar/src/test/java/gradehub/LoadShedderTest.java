package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadShedderTest {

    private static final double CONTROL_MS = 60;

    private final LoadShedder shedder = new LoadShedder();
    private final ClassStats stats =
            new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, 1), TestSettings.TICK_MS);
    private final List<String> logs = new ArrayList<>();
    private final NoOpActions actions = new NoOpActions() {
        @Override
        public void log(String line) {
            logs.add(line);
        }
    };

    private Call enqueue(int order, double value, double deadlineMs) {
        Call call = new Call(
                new Balancer.Request(order, 0, 0, 4000, false, 0), stats, value, order, deadlineMs, deadlineMs);
        shedder.queue.add(call);
        return call;
    }

    @Test
    void ordersByValueThenNewestFirst() {
        Call older = enqueue(1, 5, 1000);
        Call lowValue = enqueue(2, 1, 1000);
        Call newer = enqueue(3, 5, 1000);
        assertEquals(List.of(newer, older, lowValue), List.copyOf(shedder.queue));
    }

    @Test
    void shedsAtTwoAndAHalfMedianLatenciesLeft() {
        stats.medianMs = 100;
        Call soon = enqueue(1, 1, 1000);
        Call later = enqueue(2, 1, 1001);
        assertEquals(List.of(), shedder.shed(749, CONTROL_MS));
        assertFalse(shedder.hasShed());
        assertEquals(List.of(soon), shedder.shed(750, CONTROL_MS));
        assertTrue(shedder.hasShed());
        assertEquals(List.of(later), List.copyOf(shedder.queue));
    }

    @Test
    void shedsLaterWhenMedianLatencyIsHigh() {
        stats.medianMs = 500; // 2.5 of them exceed the aim of 1,000 ms, so 0.65 of the aim applies
        Call call = enqueue(1, 1, 1000);
        assertEquals(List.of(), shedder.shed(349, CONTROL_MS));
        assertEquals(List.of(call), shedder.shed(350, CONTROL_MS));
        stats.medianMs = 800; // the threshold is at least one median latency
        enqueue(2, 1, 1000);
        assertEquals(List.of(), shedder.shed(199, CONTROL_MS));
        assertEquals(1, shedder.shed(200, CONTROL_MS).size());
    }

    @Test
    void shedsAtTheLastControlTickWhenMedianLatencyIsLow() {
        stats.medianMs = 1;
        enqueue(1, 1, 1000);
        assertEquals(List.of(), shedder.shed(939, CONTROL_MS));
        assertEquals(1, shedder.shed(940, CONTROL_MS).size());
    }

    @Test
    void logsTheStartAndTheEndOfShedding() {
        shedder.tick(actions);
        enqueue(1, 1, 1000);
        shedder.shed(1000, CONTROL_MS);
        shedder.tick(actions);
        assertFalse(shedder.hasShed());
        enqueue(2, 1, 1000);
        shedder.shed(1000, CONTROL_MS);
        shedder.tick(actions);
        shedder.tick(actions);
        assertEquals(List.of("all members at their limits: shedding requests", "load shedding ended"), logs);
    }
}
