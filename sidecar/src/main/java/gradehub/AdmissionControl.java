package gradehub;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which requests are refused on arrival. Each request holds a connection of its client, and clients
 * have a limited number of them: the fewer are free, the higher the value per unit of time that a request
 * needs. The rule costs throughput where clients can open more connections than the sidecar knows of.
 */
final class AdmissionControl {

    private static final double RESERVE = 1.2; // square roots of the limit, reserved for the best requests
    private static final double WELL_SERVED = 0.9; // part of a class; below it the worst one gains value
    private static final double THROTTLE = 1.4; // attempts accepted for each one that ends in time
    private static final double DECAY = 0.85; // per tick, of the counts of ended attempts

    int maxConnections; // that clients can hold at once; 0 if unknown
    private final Balancer.Goal goal;
    private final List<ClassStats> classes;
    private double ended; // attempts, decayed
    private double inTime; // attempts that ended in time, decayed
    private int refused; // requests selected in this tick
    private boolean refusing;

    AdmissionControl(Balancer.Goal goal, List<ClassStats> classes) {
        this.goal = goal;
        this.classes = classes;
    }

    void attemptEnded(boolean wasInTime) {
        ended++;
        inTime += wasInTime ? 1 : 0;
    }

    /** What an answer adds to the goal: a part of the whole, and a bonus for a poorly served class. */
    double answerValue(ClassStats stats) {
        double offered = classes.stream()
                .mapToDouble(other -> other.offered * other.spec.worth())
                .sum();
        boolean underserved = stats.served < WELL_SERVED * stats.offered && isServedWorst(stats);
        double bonus = underserved ? goal.worstClass() * offered / stats.offered : 0;
        return goal.overall() * stats.spec.worth() + bonus;
    }

    private boolean isServedWorst(ClassStats stats) {
        for (ClassStats other : classes) {
            if (other.served * stats.offered < stats.served * other.offered) {
                return false;
            }
        }
        return true;
    }

    /** Whether the time left is too short for a useful answer, by the class's latency or the cost hint. */
    static boolean isTooLate(double nowMs, Call call) {
        return call.deadlineMs - nowMs <= Math.max(call.stats.medianMs / 2, call.costMs);
    }

    /** Whether to refuse a request because most attempts end late; {@code draw} is random, from 0 to 1. */
    boolean shouldThrottle(double draw) {
        return draw > THROTTLE * ((1 + inTime) / (1 + ended));
    }

    /** The request to refuse so that its connection becomes free: the new one, a queued one, or null. */
    Call selectRefused(Call call, int open, Collection<Call> queued) {
        double reserved = RESERVE * Math.sqrt(maxConnections); // random bursts grow with the square root
        double free = maxConnections - open;
        if (maxConnections == 0 || free >= reserved) {
            return null;
        }
        Call least = queued.stream()
                .min(Comparator.comparingDouble(Call::valuePerMs))
                .orElse(call);
        if (least.valuePerMs() >= call.valuePerMs()) {
            double best = classes.stream()
                    .filter(stats -> stats.offered > 0)
                    .mapToDouble(stats -> answerValue(stats) / stats.medianMs)
                    .max()
                    .orElse(0);
            least = free < reserved * (1 - call.valuePerMs() / best) ? call : null;
        }
        refused += least == null ? 0 : 1;
        return least;
    }

    void tick(Balancer.Actions actions) {
        ended *= DECAY;
        inTime *= DECAY;
        if (refused > 0 != refusing) {
            refusing = refused > 0;
            actions.log(
                    refusing
                            ? "client connections are running out: refusing requests of least value per time"
                            : "client connections are available again");
        }
        refused = 0;
    }
}
