package gradehub;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** What {@link LoadShiftingBalancer} remembers of one upstream since its latest start. */
final class UpstreamState {

    private static final double CROWDED = 1.3; // quiet latencies that an answer of a crowded upstream takes

    final int id;
    Balancer.Upstream listed; // what discovery said last
    boolean consideredForSubset; // whether it was a candidate for the subset before
    double share; // its part of the draw
    double latencyRatioSum; // over typical latencies: this tick's samples, and earlier ones if few
    double samples;
    double meanLatencyRatio; // the mean of them at the last tick
    double confidence; // how far that mean can be trusted, from 0 to 1
    double smoothedRatio = 1; // latency over the quiet one of its class, smoothed
    double baselineRatio = 1; // the same when this upstream is quiet itself
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    int inFlight;
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>(); // in flight, oldest first, without streams
    double lastAnswerMs;
    double load; // quiet latencies that a request sent at the latest report would take
    double loadUpdatedMs = Double.NEGATIVE_INFINITY;
    final EjectionState probation = new EjectionState(); // of it as a whole
    private final Map<ClassStats, EjectionState> classProbation = new HashMap<>(); // of classes sent to it
    final TokenBucket slowStartBudget = new TokenBucket();

    UpstreamState(Balancer.Upstream listed) {
        this.id = listed.id();
        this.listed = listed;
    }

    EjectionState probation(ClassStats stats) {
        return classProbation.computeIfAbsent(stats, unused -> new EjectionState());
    }

    /** By which part a latency is under that of a crowded upstream; negative where it is over it. */
    double headroom(ClassStats stats, double latencyMs) {
        return CROWDED * stats.baselineMs() * baselineRatio / latencyMs - 1;
    }

    void recordLatencyRatio(double latencyRatio) {
        smoothedRatio += (latencyRatio - smoothedRatio) / ClassStats.SMOOTHING;
    }

    void tick() {
        baselineRatio = Math.max(1, ClassStats.floor(baselineRatio, smoothedRatio, ClassStats.DRIFT));
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
