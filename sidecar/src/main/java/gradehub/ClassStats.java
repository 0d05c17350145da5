package gradehub;

/** Statistics of one class of requests. */
final class ClassStats {

    static final double SMOOTHING = 32; // samples over which a moving average extends
    private static final double AIM_PER_MEDIAN = 8; // aim / median latency, before any answer is known
    private static final double MEDIAN_STEP = 0.02; // relative step of the running median for an answer
    private static final double TAIL_STEP = 0.25; // relative step of the running tail latency for an answer
    private static final double TAIL_PART = 0.03; // fraction of answers slower than the tail latency
    static final double DRIFT = 0.005; // relative rise of the baseline in a tick: machines change
    private static final double DRIFT_STARVED = 0.05; // the same while even single attempts are slow
    private static final double DECAY = 0.98; // of the offered and served counts, in a tick

    final Balancer.RequestClass spec;
    double medianMs; // running median latency
    double baselineMs; // median latency without load; 0 while unknown
    double tailRatio = 8; // running tail latency / median
    int answers;
    double offered; // decaying count of requests received
    double served; // decaying count of them that were served
    private final double jitterMs; // tolerance for the timeouts of first tries
    private final MajorityVote usualTimeout = new MajorityVote(); // of first tries
    final UnservedRequestHistory unservedRequests; // first tries that clients may retry

    ClassStats(Balancer.RequestClass spec, double tickMs) {
        this.spec = spec;
        medianMs = spec.aimMs() / AIM_PER_MEDIAN;
        jitterMs = 2 * tickMs + spec.deadlineMs() / 500;
        unservedRequests = new UnservedRequestHistory(spec.deadlineMs(), jitterMs);
    }

    void recordAnswer(double latencyMs) {
        answers++;
        served++;
        updateMedian(latencyMs);
        tailRatio *= 1 + TAIL_STEP * ((latencyMs > tailRatio * medianMs ? 1 : 0) - TAIL_PART);
    }

    void updateMedian(double latencyMs) {
        double step = Math.max(MEDIAN_STEP, 1.0 / (2 + answers)); // smaller with more answers
        medianMs *= 1 + step * Math.signum(latencyMs - medianMs);
    }

    void tick(boolean starved) {
        offered *= DECAY;
        served *= DECAY;
        baselineMs = answers < SMOOTHING ? 0 : floor(baselineMs(), medianMs, starved ? DRIFT_STARVED : DRIFT);
    }

    /** The latency without load, or the median until there are enough answers to know it. */
    double baselineMs() {
        return baselineMs > 0 ? baselineMs : medianMs;
    }

    /** Moves a floor halfway to a lower value (a minimum would sink with noise), or up by the drift. */
    static double floor(double floor, double value, double drift) {
        return value < floor ? (floor + value) / 2 : floor * (1 + drift);
    }

    /**
     * The time since the client's first try. A first try has the most frequent timeout; a retry has the rest
     * of its deadline as its timeout, which dates the first try. Without an unserved first try at that time
     * this counts as a first try, so that clients with short timeouts are not all taken for late retries.
     */
    double elapsedMs(double nowMs, Balancer.Request request, boolean repeatsMarked) {
        boolean usual = usualTimeout.count(request.timeoutMs(), jitterMs);
        double usedMs = Math.max(0, spec.deadlineMs() - request.timeoutMs());
        boolean first = repeatsMarked ? !request.repeat() : usual || !unservedRequests.remove(nowMs - usedMs);
        return first ? 0 : usedMs;
    }
}
