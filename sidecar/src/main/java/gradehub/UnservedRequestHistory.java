package gradehub;

import java.util.Arrays;

/** Arrival times of unserved requests while clients may retry them, as counts per time slot in a ring. */
final class UnservedRequestHistory {

    private final double slotMs;
    private final long[] slots;
    private final int[] counts;

    UnservedRequestHistory(double retentionMs, double toleranceMs) {
        slotMs = toleranceMs;
        slots = new long[(int) Math.ceil(retentionMs / slotMs) + 2];
        counts = new int[slots.length];
        Arrays.fill(slots, Long.MIN_VALUE);
    }

    void add(double arrivalMs) {
        long slot = (long) Math.floor(arrivalMs / slotMs);
        int index = Math.floorMod(slot, slots.length);
        counts[index] = slots[index] == slot ? counts[index] + 1 : 1;
        slots[index] = slot;
    }

    /** Removes one request that arrived at about this time; false if there is none. */
    boolean remove(double arrivalMs) {
        long slot = (long) Math.floor(arrivalMs / slotMs);
        for (long near = slot - 1; near <= slot + 1; near++) {
            int index = Math.floorMod(near, slots.length);
            if (slots[index] == near && counts[index] > 0) {
                counts[index]--;
                return true;
            }
        }
        return false;
    }
}
