package gradehub.scale.model;

import java.util.Arrays;

/**
 * The simulated clock: events in order of time and, at one time, in the order in which they were scheduled. Time is in
 * whole microseconds. What is due soon stands in a heap; what is due later waits unsorted in slots of about a
 * millisecond, so that the many time-outs that come to nothing cost little.
 */
final class EventQueue {

    private static final int SLOT_BITS = 10;
    private static final int SLOTS = 8192;

    private final EventHeap due = new EventHeap();
    private final Slot[] slots = new Slot[SLOTS];
    /** The latest slot whose events are in the heap. */
    private long dueSlot;

    private long nextSequence;
    private long nowMicros;
    private long fired;

    /** Events of one slot, unsorted. */
    private static final class Slot {
        private long[] times = new long[4];
        private long[] sequences = new long[4];
        private Event[] events = new Event[4];
        private int size;

        void add(long time, long sequence, Event event) {
            if (size == times.length) {
                times = Arrays.copyOf(times, 2 * size);
                sequences = Arrays.copyOf(sequences, 2 * size);
                events = Arrays.copyOf(events, 2 * size);
            }
            times[size] = time;
            sequences[size] = sequence;
            events[size++] = event;
        }
    }

    EventQueue() {
        Arrays.setAll(slots, slot -> new Slot());
    }

    /** The present simulated time. */
    long nowMicros() {
        return nowMicros;
    }

    /** How many events have happened. */
    long firedCount() {
        return fired;
    }

    /** Schedules an event; one in the past happens at the present time. */
    void scheduleAt(long timeMicros, Event event) {
        place(Math.max(nowMicros, timeMicros), nextSequence++, event);
    }

    /** Schedules an event after a delay. */
    void scheduleAfter(long delayMicros, Event event) {
        scheduleAt(nowMicros + delayMicros, event);
    }

    /** Lets all events happen up to this time, that time included, and moves the clock there. */
    void runUntil(long endMicros) {
        while (true) {
            while (!due.isEmpty() && due.firstMicros() <= endMicros) {
                nowMicros = due.firstMicros();
                fired++;
                due.removeFirst().fire(nowMicros);
            }
            if (dueSlot >= endMicros >> SLOT_BITS) {
                break;
            }
            makeNextSlotDue();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    /** Events further away than there are slots wait in the last slot, and are placed anew from there. */
    private void place(long timeMicros, long sequence, Event event) {
        long slot = timeMicros >> SLOT_BITS;
        if (slot <= dueSlot) {
            due.add(timeMicros, sequence, event);
        } else {
            long place = Math.min(slot, dueSlot + SLOTS - 1);
            slots[(int) (place % SLOTS)].add(timeMicros, sequence, event);
        }
    }

    private void makeNextSlotDue() {
        dueSlot++;
        Slot slot = slots[(int) (dueSlot % SLOTS)];
        int size = slot.size;
        slot.size = 0;
        for (int i = 0; i < size; i++) {
            Event event = slot.events[i];
            slot.events[i] = null;
            if (!event.isObsolete()) {
                place(slot.times[i], slot.sequences[i], event);
            }
        }
    }
}
