package gradehub.scale.model;

import java.util.Arrays;

/**
 * The event queue and clock of the simulation. Events fire in order of time; those with equal times fire in the order
 * in which they were scheduled. Time is in whole microseconds. Events due soon are in a heap; later ones wait unsorted
 * in a timing wheel with slots of about a millisecond, so that the many timeouts that become obsolete cost little.
 */
final class EventQueue {

    /** The length of a slot in microseconds is 2 to this power. */
    private static final int SLOT_BITS = 10;

    private static final int SLOT_COUNT = 8192;

    private final EventHeap dueEvents = new EventHeap();
    private final Slot[] slots = new Slot[SLOT_COUNT];
    /** The latest slot, counted from time 0, whose events are in the heap. */
    private long lastDueSlot;

    private long nextSequence;
    private long nowMicros;
    private long firedCount;

    /** The events of one slot of the timing wheel, unsorted. */
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

    /** The current simulated time. */
    long nowMicros() {
        return nowMicros;
    }

    /** The number of events that have fired; discarded ones are not counted. */
    long firedCount() {
        return firedCount;
    }

    /** Schedules an event; a time in the past is replaced by the current time. */
    void scheduleAt(long timeMicros, Event event) {
        enqueue(Math.max(nowMicros, timeMicros), nextSequence++, event);
    }

    /** Schedules an event after a delay from the current time. */
    void scheduleAfter(long delayMicros, Event event) {
        scheduleAt(nowMicros + delayMicros, event);
    }

    /** Fires all events up to and including this time and advances the clock to it. */
    void runUntil(long endMicros) {
        while (true) {
            while (!dueEvents.isEmpty() && dueEvents.earliestMicros() <= endMicros) {
                nowMicros = dueEvents.earliestMicros();
                firedCount++;
                dueEvents.removeEarliest().fire(nowMicros);
            }
            if (lastDueSlot >= endMicros >> SLOT_BITS) {
                break;
            }
            advanceSlot();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    /** Adds an event to the heap or to its slot. One beyond the last slot waits in that slot, to be enqueued again. */
    private void enqueue(long timeMicros, long sequence, Event event) {
        long slot = timeMicros >> SLOT_BITS;
        if (slot <= lastDueSlot) {
            dueEvents.add(timeMicros, sequence, event);
        } else {
            long heldSlot = Math.min(slot, lastDueSlot + SLOT_COUNT - 1);
            slots[(int) (heldSlot % SLOT_COUNT)].add(timeMicros, sequence, event);
        }
    }

    /** Advances by one slot and enqueues its events again, except for obsolete ones, which it discards. */
    private void advanceSlot() {
        lastDueSlot++;
        Slot slot = slots[(int) (lastDueSlot % SLOT_COUNT)];
        int size = slot.size;
        slot.size = 0;
        for (int i = 0; i < size; i++) {
            Event event = slot.events[i];
            slot.events[i] = null;
            if (!event.isObsolete()) {
                enqueue(slot.times[i], slot.sequences[i], event);
            }
        }
    }
}
