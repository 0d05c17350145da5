package gradehub.node;

/**
 * Unix time in milliseconds, as in discovery's start times. The system clock is read once at the start; from then on
 * the monotonic clock advances the time, so that later changes to the system clock never move it backwards.
 */
final class Clock {

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    double nowMs() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
