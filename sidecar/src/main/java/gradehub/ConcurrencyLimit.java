package gradehub;

/**
 * How many attempts this sidecar may have in flight at one upstream. Guards against queues, and upstreams
 * that jam: answers quicker than a crowded upstream's raise the limit, slower ones lower it. Below one
 * attempt it sets a pace, since many sidecars with one attempt each jam an upstream too.
 */
final class ConcurrencyLimit {

    private static final double MOST_RAISED = 0.25; // attempts, by one quick answer
    private static final double MOST_LOWERED = 0.5; // attempts, by one slow answer

    private double attempts;
    private double nextSendMs;

    void reset(double firstAttempts) {
        attempts = Math.max(1, firstAttempts);
    }

    /** Whether one more attempt may be sent; an upstream that is warm in part gets that part of the limit. */
    boolean admits(double nowMs, int inFlight, double warmth) {
        return inFlight < Math.max(1, attempts * warmth) && nowMs >= nextSendMs;
    }

    boolean atMostOne() {
        return attempts <= 1;
    }

    /**
     * Moves the limit after an answer, not under {@code minimum}. {@code headroom} is the part by which
     * it was quicker than a crowded upstream's, negative if slower; a pace is so many {@code typicalMs}.
     */
    void adjust(double nowMs, int inFlight, double headroom, double minimum, double typicalMs) {
        double change = Math.min(MOST_RAISED, headroom);
        if (change < 0) {
            attempts = Math.max(minimum, attempts + Math.max(-MOST_LOWERED, change) * Math.min(1, attempts));
            nextSendMs = nowMs + typicalMs * Math.max(0, 1 / attempts - 1);
        } else if (inFlight + 1 >= attempts / 2) {
            attempts = Math.max(1, attempts + change);
        }
    }
}
