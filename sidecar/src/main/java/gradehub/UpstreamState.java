package gradehub;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The state of one upstream since its latest start. */
final class UpstreamState {

    private static final double OVERLOAD_RATIO = 1.3; // latency of an overloaded upstream / baseline

    final int id;
    Balancer.Upstream listed; // latest entry from discovery
    boolean consideredForSubset; // whether it has ever been a candidate for the subset
    boolean member; // of the subset
    int candidateIndex = CandidatePool.ABSENT;
    double share; // weight in the random choice of an upstream
    double latencyRatioSum; // latency / median: samples of this tick, and decayed older ones if few
    double samples;
    double meanLatencyRatio; // mean of the samples at the last tick
    double confidence; // in that mean, from 0 to 1
    double smoothedRatio = 1; // latency / baseline of its class, smoothed
    double baselineRatio = 1; // the same ratio while this upstream is not loaded
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    int inFlight;
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>(); // in flight, oldest first, except streams
    double lastAnswerMs;
    double load; // latency expected at the latest update, in baseline latencies
    double loadUpdatedMs = Double.NEGATIVE_INFINITY;
    final EjectionState ejection = new EjectionState(); // for all classes together
    private final Map<ClassStats, EjectionState> classEjections = new HashMap<>(); // for single classes
    final TokenBucket slowStartBudget = new TokenBucket();

    UpstreamState(Balancer.Upstream listed) {
        this.id = listed.id();
        this.listed = listed;
    }

    EjectionState ejection(ClassStats stats) {
        return classEjections.computeIfAbsent(stats, unused -> new EjectionState());
    }

    /** Returns the relative margin of a latency below that of an overloaded upstream; negative if above. */
    double headroom(ClassStats stats, double latencyMs) {
        return OVERLOAD_RATIO * stats.baselineMs() * baselineRatio / latencyMs - 1;
    }

    void recordLatencyRatio(double latencyRatio) {
        smoothedRatio += (latencyRatio - smoothedRatio) / ClassStats.SMOOTHING;
    }

    void tick() {
        baselineRatio = Math.max(1, ClassStats.trackMin(baselineRatio, smoothedRatio, ClassStats.DRIFT));
    }

    void updateLoad(double nowMs, double requestLoad) {
        load = requestLoad;
        loadUpdatedMs = nowMs;
    }

    boolean isReady() {
        return listed.status() == Balancer.Status.READY;
    }

    @Override
    public String toString() {
        return "upstream " + Integer.toUnsignedString(id);
    }
}
