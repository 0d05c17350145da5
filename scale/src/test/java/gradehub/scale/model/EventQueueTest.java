package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The order of events on the simulated clock. */
class EventQueueTest {

    private record Fired(long atMicros, int number) {}

    /** Times within the slots, on their edges and far beyond them; one in three events schedules a further one. */
    @Property(tries = 300, seed = "20")
    void eventsHappenInOrderOfTimeAndThenOfScheduling(
            @ForAll @Size(max = 200) List<@LongRange(min = 0, max = 30_000_000) Long> times) {
        EventQueue queue = new EventQueue();
        List<Fired> fired = new ArrayList<>();
        List<Fired> expected = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            long time = i % 2 == 0 ? times.get(i) : times.get(i) / 1024 * 1024;
            expected.add(new Fired(time, number));
            queue.scheduleAt(time, now -> {
                fired.add(new Fired(now, number));
                if (number % 3 == 0) {
                    queue.scheduleAfter(time % 7000, later -> fired.add(new Fired(later, times.size() + number)));
                }
            });
            if (number % 3 == 0) {
                expected.add(new Fired(time + time % 7000, times.size() + number));
            }
        }
        queue.runUntil(15_000_000);
        queue.runUntil(40_000_000);
        List<Fired> inOrder = new ArrayList<>(fired);
        inOrder.sort(Comparator.comparingLong(Fired::atMicros));
        assertEquals(inOrder, fired, "in order of time");
        List<Fired> first =
                fired.stream().filter(event -> event.number < times.size()).toList();
        List<Fired> expectedFirst = expected.stream()
                .filter(event -> event.number < times.size())
                .sorted(Comparator.comparingLong(Fired::atMicros)) // which keeps the order of scheduling
                .toList();
        assertEquals(expectedFirst, first);
        assertEquals(expected.size(), fired.size(), "each event happens once");
        assertEquals(40_000_000, queue.nowMicros());
    }

    @Test
    void whatIsVoidIsDroppedAndCountsForNothing() {
        EventQueue queue = new EventQueue();
        List<Long> fired = new ArrayList<>();
        queue.scheduleAt(5_000_000, new Event() {
            @Override
            public void fire(long nowMicros) {
                fired.add(nowMicros);
            }

            @Override
            public boolean isObsolete() {
                return true;
            }
        });
        queue.scheduleAt(6_000_000, fired::add);
        queue.runUntil(7_000_000);
        assertEquals(List.of(6_000_000L), fired);
        assertEquals(1, queue.firedCount());
    }

    @Test
    void anEventInThePastHappensNow() {
        EventQueue queue = new EventQueue();
        List<Long> fired = new ArrayList<>();
        queue.scheduleAt(100, now -> queue.scheduleAt(50, fired::add));
        queue.runUntil(200);
        assertEquals(List.of(100L), fired);
    }
}
