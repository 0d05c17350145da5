package umberkeel;

/** What {@link LoadShiftingBalancer} has seen of one class of requests. */
final class ClassStats {

    static final double SMOOTHING = 32; // values over which a mean is smoothed

    final Balancer.RequestClass spec;
    double typicalMs; // the running median of latencies
    double quietMs; // what it was when the upstreams were quiet; 0 until that is known
    double tail = 8; // the running tail of latencies, in typical ones
    int answers;
    double offered; // requests that came, older ones counting less
    double served; // of them
    final MajorityVote patience = new MajorityVote(); // the patience that most first tries state
    final UnservedTries unserved; // first tries whose clients may come again

    ClassStats(Balancer.RequestClass spec, double typicalMs, double jitterMs) {
        unserved = new UnservedTries(spec.deadlineMs(), jitterMs);
        this.spec = spec;
        this.typicalMs = typicalMs;
    }

    void fade(double kept) {
        offered *= kept;
        served *= kept;
    }

    /** The typical latency, until enough answers are known to tell what is quiet. */
    double quietMs() {
        return quietMs > 0 ? quietMs : typicalMs;
    }
}
