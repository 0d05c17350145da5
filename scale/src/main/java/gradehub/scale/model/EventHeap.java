package gradehub.scale.model;

import java.util.Arrays;

/** A priority queue of events by time and then by sequence number: a 4-ary min-heap in parallel arrays. */
final class EventHeap {

    private static final int ARITY = 4;
    private static final int INITIAL_CAPACITY = 1024;

    private long[] times = new long[INITIAL_CAPACITY];
    private long[] sequences = new long[INITIAL_CAPACITY];
    private Event[] events = new Event[INITIAL_CAPACITY];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** The time of the earliest event; the heap must not be empty. */
    long earliestMicros() {
        return times[0];
    }

    void add(long timeMicros, long sequence, Event event) {
        if (size == times.length) {
            int capacity = 2 * size;
            times = Arrays.copyOf(times, capacity);
            sequences = Arrays.copyOf(sequences, capacity);
            events = Arrays.copyOf(events, capacity);
        }
        siftUp(size++, timeMicros, sequence, event);
    }

    /** Removes and returns the earliest event; the heap must not be empty. */
    Event removeEarliest() {
        Event earliest = events[0];
        size--;
        long time = times[size];
        long sequence = sequences[size];
        Event event = events[size];
        events[size] = null;
        if (size > 0) {
            siftDown(time, sequence, event);
        }
        return earliest;
    }

    private void siftUp(int start, long time, long sequence, Event event) {
        int index = start;
        while (index > 0) {
            int parent = (index - 1) / ARITY;
            if (!isBefore(time, sequence, parent)) {
                break;
            }
            move(parent, index);
            index = parent;
        }
        set(index, time, sequence, event);
    }

    private void siftDown(long time, long sequence, Event event) {
        int index = 0;
        while (true) {
            int child = earliestChild(index);
            if (child < 0 || isBefore(time, sequence, child)) {
                break;
            }
            move(child, index);
            index = child;
        }
        set(index, time, sequence, event);
    }

    private int earliestChild(int index) {
        int firstChild = ARITY * index + 1;
        if (firstChild >= size) {
            return -1;
        }
        int end = Math.min(firstChild + ARITY, size);
        int earliest = firstChild;
        for (int child = firstChild + 1; child < end; child++) {
            if (isBefore(times[child], sequences[child], earliest)) {
                earliest = child;
            }
        }
        return earliest;
    }

    private boolean isBefore(long time, long sequence, int index) {
        return time < times[index] || time == times[index] && sequence < sequences[index];
    }

    private void move(int from, int to) {
        set(to, times[from], sequences[from], events[from]);
    }

    private void set(int index, long time, long sequence, Event event) {
        times[index] = time;
        sequences[index] = sequence;
        events[index] = event;
    }
}
