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

/** Tests the order in which the event queue fires events. */
class EventQueueTest {

    private record Firing(long atMicros, int number) {}

    /** Uses times within slots, on slot boundaries and far beyond the last slot; a third of the events schedule another. */
    @Property(tries = 300, seed = "20")
    void eventsFireInOrderOfTimeAndThenOfScheduling(
            @ForAll @Size(max = 200) List<@LongRange(min = 0, max = 30_000_000) Long> times) {
        EventQueue queue = new EventQueue();
        List<Firing> fired = new ArrayList<>();
        List<Firing> expected = new ArrayList<>();
        for (int i = 0; i < times.size(); i++) {
            int number = i;
            long time = i % 2 == 0 ? times.get(i) : times.get(i) / 1024 * 1024;
            expected.add(new Firing(time, number));
            queue.scheduleAt(time, now -> {
                fired.add(new Firing(now, number));
                if (number % 3 == 0) {
                    queue.scheduleAfter(time % 7000, later -> fired.add(new Firing(later, times.size() + number)));
                }
            });
            if (number % 3 == 0) {
                expected.add(new Firing(time + time % 7000, times.size() + number));
            }
        }
        queue.runUntil(15_000_000);
        queue.runUntil(40_000_000);
        List<Firing> sortedByTime = new ArrayList<>(fired);
        sortedByTime.sort(Comparator.comparingLong(Firing::atMicros));
        assertEquals(sortedByTime, fired, "events must fire in order of time");
        List<Firing> initial =
                fired.stream().filter(event -> event.number < times.size()).toList();
        List<Firing> expectedInitial = expected.stream()
                .filter(event -> event.number < times.size())
                .sorted(Comparator.comparingLong(Firing::atMicros)) // stable: keeps the order of scheduling
                .toList();
        assertEquals(expectedInitial, initial);
        assertEquals(expected.size(), fired.size(), "each event must fire exactly once");
        assertEquals(40_000_000, queue.nowMicros());
    }

    @Test
    void obsoleteEventsAreDiscardedAndNotCounted() {
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
    void anEventScheduledInThePastFiresNow() {
        EventQueue queue = new EventQueue();
        List<Long> fired = new ArrayList<>();
        queue.scheduleAt(100, now -> queue.scheduleAt(50, fired::add));
        queue.runUntil(200);
        assertEquals(List.of(100L), fired);
    }
}
