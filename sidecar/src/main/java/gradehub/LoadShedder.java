package gradehub;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * The queue of requests that wait while all members are at their limits. Protects against overload: requests
 * are served by value, then newest first, and shed if they can no longer be answered in time.
 */
final class LoadShedder {

    private static final double MIN_TIME_LEFT = 2.5; // typical latencies; a request with less left is shed
    private static final double MIN_TIME_LEFT_CAP = 0.65; // upper bound on that, as a fraction of the aim

    final TreeSet<Call> queue = new TreeSet<>(
            Comparator.comparingDouble((Call call) -> -call.value).thenComparingLong(call -> -call.arrival));
    private int shedCount; // in this tick
    private boolean shedding;

    /** Removes the requests that will be too late by the next control tick; the caller must refuse them. */
    List<Call> shed(double nowMs, double controlMs) {
        List<Call> late = queue.stream()
                .filter(call -> call.deadlineMs - nowMs <= Math.max(controlMs, minTimeLeftMs(call.stats)))
                .toList();
        shedCount += late.size();
        late.forEach(queue::remove);
        return late;
    }

    /** Shedding early frees the client's connection; the cap keeps the order by value if all is slow. */
    private static double minTimeLeftMs(ClassStats stats) {
        double capMs = MIN_TIME_LEFT_CAP * stats.spec.aimMs();
        return Math.max(stats.medianMs, Math.min(MIN_TIME_LEFT * stats.medianMs, capMs));
    }

    boolean hasShed() {
        return shedCount > 0;
    }

    void tick(Balancer.Actions actions) {
        if (hasShed() != shedding) {
            shedding = hasShed();
            actions.log(shedding ? "all members at their limits: shedding requests" : "load shedding ended");
        }
        shedCount = 0;
    }
}
