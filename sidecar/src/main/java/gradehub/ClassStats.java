package gradehub;

/** Statistics of one class of requests. */
final class ClassStats {

    static final double SMOOTHING = 32; // samples over which a moving average extends
    private static final double INITIAL_AIM_PER_MEDIAN = 8; // aim / median latency, before the first answer
    private static final double MEDIAN_STEP = 0.02; // relative step of the running median per answer
    private static final double TAIL_STEP = 0.25; // relative step of the running tail latency per answer
    private static final double TAIL_FRACTION = 0.03; // fraction of answers slower than the tail latency
    static final double DRIFT = 0.005; // relative rise of the baseline per tick: machines change
    private static final double FAST_DRIFT = 0.05; // the same while even single attempts are slow
    private static final double DECAY = 0.98; // of the offered and served counts, per tick

    final Balancer.RequestClass spec;
    double medianMs; // running median latency
    double baselineMs; // median latency without load; 0 while unknown
    double tailRatio = 8; // running tail latency / median
    int answers;
    double offered; // decaying count of requests received
    double served; // decaying count of them that were served
    private final double timeoutToleranceMs; // variation allowed in the timeouts of first tries
    private final MajorityVote usualTimeout = new MajorityVote(); // of first tries
    final UnservedRequestHistory unservedRequests; // first tries that clients may retry

    ClassStats(Balancer.RequestClass spec, double tickMs) {
        this.spec = spec;
        medianMs = spec.aimMs() / INITIAL_AIM_PER_MEDIAN;
        timeoutToleranceMs = 2 * tickMs + spec.deadlineMs() / 500;
        unservedRequests = new UnservedRequestHistory(spec.deadlineMs(), timeoutToleranceMs);
    }

    void recordAnswer(double latencyMs) {
        answers++;
        served++;
        updateMedian(latencyMs);
        tailRatio *= 1 + TAIL_STEP * ((latencyMs > tailRatio * medianMs ? 1 : 0) - TAIL_FRACTION);
    }

    void updateMedian(double latencyMs) {
        double step = Math.max(MEDIAN_STEP, 1.0 / (2 + answers)); // smaller with more answers
        medianMs *= 1 + step * Math.signum(latencyMs - medianMs);
    }

    void tick(boolean starved) {
        offered *= DECAY;
        served *= DECAY;
        baselineMs = answers < SMOOTHING ? 0 : trackMin(baselineMs(), medianMs, starved ? FAST_DRIFT : DRIFT);
    }

    /** Returns the latency without load, or the median until there are enough answers to know it. */
    double baselineMs() {
        return baselineMs > 0 ? baselineMs : medianMs;
    }

    /** Tracks a minimum: halfway to a lower value (a true one would sink with noise), or up by the drift. */
    static double trackMin(double minimum, double value, double drift) {
        return value < minimum ? (minimum + value) / 2 : minimum * (1 + drift);
    }

    /**
     * Returns the time since the client's first try. A first try has the most frequent timeout; a retry has
     * the rest of its deadline as its timeout, which gives the time of the first try. If none was unserved at
     * that time, this counts as a first try, so that short timeouts are not all taken for late retries.
     */
    double elapsedMs(double nowMs, Balancer.Request request, boolean retriesMarked) {
        boolean usual = usualTimeout.count(request.timeoutMs(), timeoutToleranceMs);
        double usedMs = Math.max(0, spec.deadlineMs() - request.timeoutMs());
        boolean first = retriesMarked ? !request.retry() : usual || !unservedRequests.remove(nowMs - usedMs);
        return first ? 0 : usedMs;
    }
}
