package gradehub.node;

/**
 * Divides the memory limit of the process between the heap and everything else that a JVM holds. The start script
 * ({@code deploy/run.sh}) does the same sum, as the limit of the heap is an option of the JVM.
 */
final class ProcessMemory {

    /** The least limit that the smallest heap and the rest of the process fit into. */
    static final int MIN_LIMIT_MB = 88;

    /** Classes, code, stacks, direct buffers and what the JVM and the C library hold themselves. */
    private static final int NON_HEAP_MB = 70;

    private static final int MIN_HEAP_MB = 16;
    private static final int MAX_HEAP_MB = 96;
    /** The platform prices what a process holds above nine tenths of its limit. */
    private static final int USED_TENTHS = 9;

    private static final int BYTES_PER_MB = 1 << 20;

    private ProcessMemory() {}

    /** Returns the limit of the heap under this memory limit of the process. */
    static int heapMb(int limitMb) {
        int heapMb = limitMb * USED_TENTHS / 10 - NON_HEAP_MB;
        return Math.min(Math.max(heapMb, MIN_HEAP_MB), MAX_HEAP_MB);
    }

    /** Returns the bytes of the heap that this process may use: its JVM may have been started with another limit. */
    static long heapBytes(int limitMb) {
        return Math.min(
                (long) heapMb(limitMb) * BYTES_PER_MB, Runtime.getRuntime().maxMemory());
    }

    /** Describes the limits that this process runs with, and whether its heap can outgrow its part. */
    static String describe(int limitMb) {
        long maxHeapMb = Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
        return "event=memory-limits limit-mb=" + limitMb + " heap-mb=" + heapMb(limitMb) + " jvm-heap-mb=" + maxHeapMb
                + (maxHeapMb > heapMb(limitMb) ? " (not started by deploy/run.sh: the limit may be passed)" : "");
    }
}
