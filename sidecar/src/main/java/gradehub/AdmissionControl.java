package gradehub;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Which requests are refused as they come. Each holds a connection of its client, and clients have only so
 * many: when few are left, the less a request is worth for the time that it holds one, the more must be left
 * for others. That hurts where clients can open more than the node knows of.
 */
final class AdmissionControl {

    private static final double KEPT_FREE = 1.2; // of the root of the connections, for the worthiest
    private static final double WELL_SERVED = 0.9; // of a class: under it the worst one goes first
    private static final double THROTTLE = 1.4; // attempts for each in time, beyond which some are refused
    private static final double REMEMBERED = 0.85; // of the attempts that ended, from tick to tick

    int connections; // that clients can hold at once; 0 where it is not known
    private final Balancer.Goal goal;
    private final List<ClassStats> classes;
    private double ended; // attempts, older ones counting less
    private double inTime; // of them
    private int yielded; // requests in this tick
    private boolean yielding;

    AdmissionControl(Balancer.Goal goal, List<ClassStats> classes) {
        this.goal = goal;
        this.classes = classes;
    }

    void attemptEnded(boolean wasInTime) {
        ended++;
        inTime += wasInTime ? 1 : 0;
    }

    /** What an answer adds to the goal: to the whole and to a worst class that fares badly. */
    double worth(ClassStats stats) {
        double offered = classes.stream()
                .mapToDouble(other -> other.offered * other.spec.worth())
                .sum();
        boolean starved = stats.served < WELL_SERVED * stats.offered && isServedWorst(stats);
        double lift = starved ? goal.worstClass() * offered / stats.offered : 0;
        return goal.whole() * stats.spec.worth() + lift;
    }

    private boolean isServedWorst(ClassStats stats) {
        for (ClassStats other : classes) {
            if (other.served * stats.offered < stats.served * other.offered) {
                return false;
            }
        }
        return true;
    }

    /** Whether a request hardly earns: there is too little time left, for its class or by its hint. */
    static boolean isTooLate(double nowMs, Call call) {
        return call.deadlineMs - nowMs <= Math.max(call.stats.medianMs / 2, call.costMs);
    }

    /** Whether a request is refused, by a draw from 0 to 1, since most attempts come late. */
    boolean throttles(double draw) {
        return draw > THROTTLE * ((1 + inTime) / (1 + ended));
    }

    /** The request that must leave its connection to worthier ones: this new one, one that waits, or null. */
    Call displaced(Call call, int open, Collection<Call> waiting) {
        double kept = KEPT_FREE * Math.sqrt(connections); // what comes at once by chance grows so
        double left = connections - open;
        if (connections == 0 || left >= kept) {
            return null;
        }
        Call least = waiting.stream()
                .min(Comparator.comparingDouble(Call::valuePerMs))
                .orElse(call);
        if (least.valuePerMs() >= call.valuePerMs()) {
            double best = classes.stream()
                    .filter(stats -> stats.offered > 0)
                    .mapToDouble(stats -> worth(stats) / stats.medianMs)
                    .max()
                    .orElse(0);
            least = left < kept * (1 - call.valuePerMs() / best) ? call : null;
        }
        yielded += least == null ? 0 : 1;
        return least;
    }

    void tick(Balancer.Actions actions) {
        ended *= REMEMBERED;
        inTime *= REMEMBERED;
        if (yielded > 0 != yielding) {
            yielding = yielded > 0;
            actions.log(
                    yielding
                            ? "clients run out of connections: refusing what is worth least for its time"
                            : "clients have connections left again");
        }
        yielded = 0;
    }
}
