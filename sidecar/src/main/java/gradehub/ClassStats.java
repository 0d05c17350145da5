package gradehub;

/** What {@link LoadShiftingBalancer} has seen of one class of requests. */
final class ClassStats {

    static final double SMOOTHING = 32; // values over which a mean is smoothed
    private static final double FIRST_TYPICAL = 8; // typical latencies in an aim, before any answer is known
    private static final double MEDIAN_STEP = 0.02; // what one answer moves a running median
    private static final double TAIL_STEP = 0.25; // what one answer moves the running tail of latencies
    private static final double TAIL_PART = 0.03; // of the answers, that are slower than the tail
    static final double DRIFT = 0.005; // of the quiet latency in a tick: machines change
    private static final double DRIFT_STARVED = 0.05; // the same, where even single attempts are slow
    private static final double KEPT = 0.98; // of what was offered and served, from tick to tick

    final Balancer.RequestClass spec;
    double medianMs; // the running median of latencies
    double baselineMs; // what it was when the upstreams were quiet; 0 until that is known
    double tailRatio = 8; // the running tail of latencies, in typical ones
    int answers;
    double offered; // requests that came, older ones counting less
    double served; // of them
    private final double jitterMs; // of the patience that first tries state
    private final MajorityVote patience = new MajorityVote(); // that most first tries state
    final UnservedRequestHistory unservedRequests; // first tries whose clients may come again

    ClassStats(Balancer.RequestClass spec, double tickMs) {
        this.spec = spec;
        medianMs = spec.aimMs() / FIRST_TYPICAL;
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
        double step = Math.max(MEDIAN_STEP, 1.0 / (2 + answers)); // the less, the more is known
        medianMs *= 1 + step * Math.signum(latencyMs - medianMs);
    }

    void tick(boolean starved) {
        offered *= KEPT;
        served *= KEPT;
        baselineMs = answers < SMOOTHING ? 0 : floor(baselineMs(), medianMs, starved ? DRIFT_STARVED : DRIFT);
    }

    /** The typical latency, until enough answers are known to tell what is quiet. */
    double baselineMs() {
        return baselineMs > 0 ? baselineMs : medianMs;
    }

    /** A floor that follows lower values by halves (the least of noisy ones would sink), and forgets. */
    static double floor(double floor, double value, double forget) {
        return value < floor ? (floor + value) / 2 : floor * (1 + forget);
    }

    /**
     * What has passed since the client's first try. First tries state the patience most often seen; a later
     * one states what is left of its deadline, which tells when the first came. Where none came then that
     * ended unserved, or it went unseen, this is a first try: an impatient crowd is no crowd of late repeats.
     */
    double elapsedMs(double nowMs, Balancer.Request request, boolean repeatsMarked) {
        boolean usual = patience.count(request.timeoutMs(), jitterMs);
        double goneMs = Math.max(0, spec.deadlineMs() - request.timeoutMs());
        boolean first = repeatsMarked ? !request.repeat() : usual || !unservedRequests.remove(nowMs - goneMs);
        return first ? 0 : goneMs;
    }
}
