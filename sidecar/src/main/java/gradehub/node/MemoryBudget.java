package gradehub.node;

/**
 * Counts the memory that all messages hold together: those being received, in flight and not yet written. Not
 * thread-safe; all reservations are made on one event loop.
 */
final class MemoryBudget {

    /** Fraction of the process's memory limit that messages may hold. */
    private static final double MEMORY_FRACTION = 0.2;
    /** Fraction of the heap that messages may hold; the rest is for everything else and for garbage. */
    private static final double HEAP_FRACTION = 0.4;

    private static final int BYTES_PER_MB = 1 << 20;
    /** A message up to this size is always admitted, so that long messages do not crowd out the short ones. */
    private static final int ALWAYS_ADMITTED_BYTES = 4096;

    private final long limitBytes;
    private long usedBytes;

    MemoryBudget(int memoryMb) {
        double heapBytes = HEAP_FRACTION * Runtime.getRuntime().maxMemory();
        limitBytes = (long) Math.min(MEMORY_FRACTION * memoryMb * BYTES_PER_MB, heapBytes);
    }

    long limitBytes() {
        return limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    Reservation reservation() {
        return new Reservation();
    }

    /** The memory that one message holds, until it is released. */
    final class Reservation {
        private long bytes;

        /** Reserves more memory unless that would exceed the budget; returns whether it did. */
        boolean tryGrow(long moreBytes) {
            boolean admitted = usedBytes + moreBytes <= limitBytes || bytes + moreBytes <= ALWAYS_ADMITTED_BYTES;
            if (admitted) {
                grow(moreBytes);
            }
            return admitted;
        }

        /** Reserves more memory for what already exists and has to be kept. */
        void grow(long moreBytes) {
            bytes += moreBytes;
            usedBytes += moreBytes;
        }

        /** Releases the memory; has no effect the second time. */
        void release() {
            usedBytes -= bytes;
            bytes = 0;
        }
    }
}
