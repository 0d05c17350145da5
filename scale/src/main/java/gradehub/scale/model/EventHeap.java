package gradehub.scale.model;

import java.util.Arrays;

/** Events in order of time and, at one time, of their sequence: a heap with four children a node, in plain arrays. */
final class EventHeap {

    private static final int CHILDREN = 4;
    private static final int FIRST_CAPACITY = 1024;

    private long[] times = new long[FIRST_CAPACITY];
    private long[] sequences = new long[FIRST_CAPACITY];
    private Event[] events = new Event[FIRST_CAPACITY];
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    /** The time of the first event; the heap must not be empty. */
    long firstMicros() {
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

    /** Takes the first event out; the heap must not be empty. */
    Event removeFirst() {
        Event first = events[0];
        size--;
        long time = times[size];
        long sequence = sequences[size];
        Event event = events[size];
        events[size] = null;
        if (size > 0) {
            siftDown(time, sequence, event);
        }
        return first;
    }

    private void siftUp(int start, long time, long sequence, Event event) {
        int place = start;
        while (place > 0) {
            int parent = (place - 1) / CHILDREN;
            if (!isBefore(time, sequence, parent)) {
                break;
            }
            move(parent, place);
            place = parent;
        }
        set(place, time, sequence, event);
    }

    private void siftDown(long time, long sequence, Event event) {
        int place = 0;
        while (true) {
            int child = earliestChild(place);
            if (child < 0 || isBefore(time, sequence, child)) {
                break;
            }
            move(child, place);
            place = child;
        }
        set(place, time, sequence, event);
    }

    private int earliestChild(int place) {
        int first = CHILDREN * place + 1;
        if (first >= size) {
            return -1;
        }
        int end = Math.min(first + CHILDREN, size);
        int earliest = first;
        for (int child = first + 1; child < end; child++) {
            if (isBefore(times[child], sequences[child], earliest)) {
                earliest = child;
            }
        }
        return earliest;
    }

    private boolean isBefore(long time, long sequence, int place) {
        return time < times[place] || time == times[place] && sequence < sequences[place];
    }

    private void move(int from, int to) {
        set(to, times[from], sequences[from], events[from]);
    }

    private void set(int place, long time, long sequence, Event event) {
        times[place] = time;
        sequences[place] = sequence;
        events[place] = event;
    }
}
