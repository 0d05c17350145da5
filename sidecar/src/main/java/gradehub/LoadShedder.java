package gradehub;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * The requests that wait while all members are full, and which of them are shed. Guards against overload: the
 * worthiest go first, the newest of them before older ones; what could no longer earn is shed.
 */
final class LoadShedder {

    private static final double LAST_CALL = 2.5; // typical latencies before the aim, when waiting ends
    private static final double LONGEST_CALL = 0.65; // of the aim, for that

    final TreeSet<Call> waiting = new TreeSet<>(
            Comparator.comparingDouble((Call call) -> -call.value).thenComparingLong(call -> -call.arrival));
    private int shed; // in this tick
    private boolean shedding;

    /** Takes out what could no longer earn until the next control tick, for the caller to refuse. */
    List<Call> shed(double nowMs, double controlMs) {
        List<Call> late = waiting.stream()
                .filter(call -> call.deadlineMs - nowMs <= Math.max(controlMs, lastCallMs(call.stats)))
                .toList();
        shed += late.size();
        late.forEach(waiting::remove);
        return late;
    }

    /** The client holds a connection for what waits; but where all is slow the worthiest come first. */
    private static double lastCallMs(ClassStats stats) {
        double mostMs = LONGEST_CALL * stats.spec.aimMs();
        return Math.max(stats.medianMs, Math.min(LAST_CALL * stats.medianMs, mostMs));
    }

    boolean hasShed() {
        return shed > 0;
    }

    void tick(Balancer.Actions actions) {
        if (hasShed() != shedding) {
            shedding = hasShed();
            actions.log(shedding ? "all members full: refusing requests" : "nothing refused any more");
        }
        shed = 0;
    }
}
