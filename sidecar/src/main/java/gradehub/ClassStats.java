package gradehub;

/** What {@link LoadShiftingBalancer} has seen of one class of requests. */
final class ClassStats {

    static final double SMOOTHING = 32; // values over which a mean is smoothed
    private static final double FIRST_TYPICAL = 8; // typical latencies in an aim, before any answer is known
    private static final double MEDIAN_STEP = 0.02; // what one answer moves a running median
    private static final double TAIL_STEP = 0.25; // what one answer moves the running tail of latencies
    private static final double TAIL_PART = 0.03; // of the answers, that are slower than the tail
    static final double FORGET = 0.005; // of the quiet latency in a tick: machines change
    private static final double FORGET_STARVED = 0.05; // the same, where even single attempts are slow
    private static final double KEPT = 0.98; // of what was offered and served, from tick to tick

    final Balancer.RequestClass spec;
    double typicalMs; // the running median of latencies
    double quietMs; // what it was when the upstreams were quiet; 0 until that is known
    double tail = 8; // the running tail of latencies, in typical ones
    int answers;
    double offered; // requests that came, older ones counting less
    double served; // of them
    private final double jitterMs; // of the patience that first tries state
    private final MajorityVote patience = new MajorityVote(); // that most first tries state
    final UnservedTries unserved; // first tries whose clients may come again

    ClassStats(Balancer.RequestClass spec, double tickMs) {
        this.spec = spec;
        typicalMs = spec.aimMs() / FIRST_TYPICAL;
        jitterMs = 2 * tickMs + spec.deadlineMs() / 500;
        unserved = new UnservedTries(spec.deadlineMs(), jitterMs);
    }

    void answered(double latencyMs) {
        answers++;
        served++;
        moveTypical(latencyMs);
        tail *= 1 + TAIL_STEP * ((latencyMs > tail * typicalMs ? 1 : 0) - TAIL_PART);
    }

    void moveTypical(double latencyMs) {
        double step = Math.max(MEDIAN_STEP, 1.0 / (2 + answers)); // the less, the more is known
        typicalMs *= 1 + step * Math.signum(latencyMs - typicalMs);
    }

    void tick(boolean starved) {
        offered *= KEPT;
        served *= KEPT;
        quietMs = answers < SMOOTHING ? 0 : floor(quietMs(), typicalMs, starved ? FORGET_STARVED : FORGET);
    }

    /** The typical latency, until enough answers are known to tell what is quiet. */
    double quietMs() {
        return quietMs > 0 ? quietMs : typicalMs;
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
        boolean first = repeatsMarked ? !request.repeat() : usual || !unserved.take(nowMs - goneMs);
        return first ? 0 : goneMs;
    }
}
