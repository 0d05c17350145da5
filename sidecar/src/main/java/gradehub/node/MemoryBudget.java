package gradehub.node;

/**
 * Counts the memory that all messages hold together: those being received, in flight and not yet written. Not
 * thread-safe; all reservations are made on one event loop.
 */
final class MemoryBudget {

    /** Fraction that long messages may use; the rest is for short ones, which are not crowded out then. */
    private static final double LONG_MESSAGES_FRACTION = 0.75;
    /** Limit of a short message. */
    private static final int SHORT_MESSAGE_BYTES = 4096;
    /** Fraction from which on reads are short: the input of an incomplete message is held as it was read. */
    private static final double SCARCE_FRACTION = 0.5;
    /** Fraction of the limit for long messages from which on those that have stalled make room. */
    private static final double NEARLY_USED_UP_FRACTION = 0.75;

    /** The limit of all messages. */
    private final long totalBytes;
    /** The limit for long messages. */
    private final long limitBytes;

    private long usedBytes;
    private long peakBytes;

    MemoryBudget(long totalBytes) {
        this.totalBytes = totalBytes;
        limitBytes = (long) (LONG_MESSAGES_FRACTION * totalBytes);
    }

    long limitBytes() {
        return limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    /** Returns the most that messages have held together so far. */
    long peakBytes() {
        return peakBytes;
    }

    /** Whether so much is used that connections should not read far ahead of what they can process. */
    boolean isScarce() {
        return usedBytes > SCARCE_FRACTION * totalBytes;
    }

    /** Whether long messages will soon find no memory. */
    boolean isNearlyUsedUp() {
        return usedBytes > NEARLY_USED_UP_FRACTION * limitBytes;
    }

    Reservation reservation() {
        return new Reservation();
    }

    /** The memory that one message holds, until it is released. */
    final class Reservation {
        private long bytes;

        /** Reserves more memory unless that would exceed the budget; returns whether it did. */
        boolean tryGrow(long moreBytes) {
            boolean isShort = bytes + moreBytes <= SHORT_MESSAGE_BYTES;
            boolean admitted = usedBytes + moreBytes <= (isShort ? totalBytes : limitBytes);
            if (admitted) {
                grow(moreBytes);
            }
            return admitted;
        }

        /** Reserves more memory for what already exists and has to be kept. */
        void grow(long moreBytes) {
            bytes += moreBytes;
            usedBytes += moreBytes;
            peakBytes = Math.max(peakBytes, usedBytes);
        }

        /** Sets what is reserved for a buffer that exists; returns whether the budget has room for it. */
        boolean resize(long newBytes) {
            grow(newBytes - bytes);
            return usedBytes <= totalBytes;
        }

        /** Returns the budget that this memory counts in. */
        MemoryBudget budget() {
            return MemoryBudget.this;
        }

        /** Releases the memory; has no effect the second time. */
        void release() {
            usedBytes -= bytes;
            bytes = 0;
        }
    }
}
