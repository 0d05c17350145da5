package gradehub;

/**
 * An adaptive limit on this sidecar's attempts in flight at one upstream. Protects it against queues and
 * overload: answers faster than those of an overloaded upstream raise the limit, slower ones lower it. Below
 * one attempt it becomes a minimum interval, since many sidecars with one attempt each also overload it.
 */
final class ConcurrencyLimit {

    private static final double MAX_INCREASE = 0.25; // attempts, per fast answer
    private static final double MAX_DECREASE = 0.5; // attempts, per slow answer

    private double limit; // attempts
    private double nextAllowedMs;

    void reset(double initialLimit) {
        limit = Math.max(1, initialLimit);
    }

    /** Whether one more attempt may be sent; a cold upstream gets {@code capacityFraction} of the limit. */
    boolean admits(double nowMs, int inFlight, double capacityFraction) {
        return inFlight < Math.max(1, limit * capacityFraction) && nowMs >= nextAllowedMs;
    }

    boolean atMostOne() {
        return limit <= 1;
    }

    /**
     * Adapts the limit to an answer, down to {@code minimum}. {@code headroom} is the relative margin to the
     * latency of an overloaded upstream, negative if slower. Intervals are multiples of {@code typicalMs}.
     */
    void adjust(double nowMs, int inFlight, double headroom, double minimum, double typicalMs) {
        double change = Math.min(MAX_INCREASE, headroom);
        if (change < 0) {
            limit = Math.max(minimum, limit + Math.max(-MAX_DECREASE, change) * Math.min(1, limit));
            nextAllowedMs = nowMs + typicalMs * Math.max(0, 1 / limit - 1);
        } else if (inFlight + 1 >= limit / 2) {
            limit = Math.max(1, limit + change);
        }
    }
}
