package gradehub.node;

/**
 * Divides the memory limit of the process between the heap and everything else that a JVM holds. The start script
 * ({@code deploy/run.sh}) does the same sum, as the limit of the heap is an option of the JVM.
 */
final class ProcessMemory {

    /** The least limit that the smallest heap and the rest of the process fit into. */
    static final int MIN_LIMIT_MB = 100;

    /** Classes, code, stacks, direct buffers and what the JVM and the C library hold themselves. */
    private static final int NON_HEAP_MB = 76;

    private static final int MIN_HEAP_MB = 24;
    private static final int MAX_HEAP_MB = 96;
    /** The platform prices what a process holds above nine tenths of its limit. */
    private static final int USED_TENTHS = 9;

    /** What a sidecar keeps on its heap without any connection, with the list of a large fleet. */
    private static final int BASE_HEAP_MB = 8;
    /** Fraction of the rest that connections and messages may hold; what remains is for garbage. */
    private static final double LIVE_FRACTION = 0.6;
    /** What an open connection keeps on the heap besides its messages. */
    static final int CONNECTION_BYTES = 7 * 1024;
    /** Fraction that connections may hold; messages have the rest. */
    private static final double MAX_CONNECTIONS_FRACTION = 0.75;

    private static final int BYTES_PER_KB = 1 << 10;
    private static final int BYTES_PER_MB = 1 << 20;

    private ProcessMemory() {}

    /** Returns the limit of the heap under this memory limit of the process. */
    static int heapMb(int limitMb) {
        int heapMb = limitMb * USED_TENTHS / 10 - NON_HEAP_MB;
        return Math.min(Math.max(heapMb, MIN_HEAP_MB), MAX_HEAP_MB);
    }

    /** Returns the most that the process holds under this limit: the sum of the ceilings of all its parts. */
    static int ceilingMb(int limitMb) {
        return heapMb(limitMb) + NON_HEAP_MB;
    }

    /** Returns the number of sockets for which there is memory, at most that of the descriptors. */
    static int maxSockets(int limitMb, int descriptors) {
        return (int) Math.min(descriptors, MAX_CONNECTIONS_FRACTION * liveBytes(limitMb) / CONNECTION_BYTES);
    }

    /** Returns what all messages may hold together beside this number of connections. */
    static long messageBytes(int limitMb, int sockets) {
        return liveBytes(limitMb) - (long) sockets * CONNECTION_BYTES;
    }

    private static long liveBytes(int limitMb) {
        // The JVM may have been started with another limit than the script's.
        long heapBytes = Math.min(
                (long) heapMb(limitMb) * BYTES_PER_MB, Runtime.getRuntime().maxMemory());
        return (long) (LIVE_FRACTION * (heapBytes - (long) BASE_HEAP_MB * BYTES_PER_MB));
    }

    /** Describes the limits that this process runs with, and whether its heap can outgrow its part. */
    static String describe(int limitMb, int descriptors) {
        int sockets = maxSockets(limitMb, descriptors);
        long maxHeapMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
        return "event=memory-limits limit-mb=" + limitMb + " heap-mb=" + heapMb(limitMb) + " jvm-heap-mb=" + maxHeapMb
                + " sockets=" + sockets + " message-kb=" + messageBytes(limitMb, sockets) / BYTES_PER_KB
                + (maxHeapMb > heapMb(limitMb) ? " (not started by deploy/run.sh: the limit may be passed)" : "");
    }
}
