package gradehub;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import java.util.List;

/** Samples of sidecars that are many, so that each sees little. */
final class SparseFleet {

    static final int SIDECARS = 300;
    static final Limits LIMITS = new Limits(4, true, true, false, 0);
    static final RequestClass SAFE = Samples.requestClass(Effect.SAFE, Group.ALL, 1);

    private SparseFleet() {}

    static Settings settings(
            int sidecars, boolean marked, Limits limits, boolean reportsOnProbe, Goal goal, RequestClass... classes) {
        Settings base = Samples.settings(sidecars, limits, false, List.of(), classes);
        return new Settings(
                base.classes(),
                List.of(),
                sidecars,
                false,
                marked,
                base.tickMs(),
                base.overShareWorth(),
                reportsOnProbe ? List.of("active") : List.of(),
                reportsOnProbe,
                limits,
                base.contract(),
                goal);
    }

    static Sidecar sidecar(boolean marked, RequestClass... classes) {
        return new Sidecar(settings(SIDECARS, marked, LIMITS, false, new Goal(1, 0, 0), classes), 7);
    }

    static void serve(Sidecar sidecar, double ms) {
        Sidecar.Sent attempt = sidecar.last();
        sidecar.pass(ms);
        if (attempt.outcome == null) {
            sidecar.end(attempt, Outcome.OK);
        }
    }
}
