package gradehub;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import java.util.List;

/** Settings and sidecars for a deployment of many sidecars, each with few requests. */
final class LowTraffic {

    static final int SIDECARS = 300;
    static final Limits LIMITS = new Limits(4, true, true, false, 0);
    static final RequestClass SAFE = TestSettings.requestClass(Effect.SAFE, Group.ALL, 1);

    private LowTraffic() {}

    static Settings settings(
            int sidecars,
            boolean retriesMarked,
            Limits limits,
            boolean reportsOnProbe,
            Goal goal,
            RequestClass... classes) {
        Settings base = TestSettings.settings(sidecars, limits, false, List.of(), classes);
        return new Settings(
                base.classes(),
                List.of(),
                sidecars,
                false,
                retriesMarked,
                base.tickMs(),
                base.overShareWorth(),
                reportsOnProbe ? List.of("active") : List.of(),
                reportsOnProbe,
                limits,
                base.contract(),
                goal);
    }

    static FakeSidecar sidecar(boolean retriesMarked, RequestClass... classes) {
        return new FakeSidecar(settings(SIDECARS, retriesMarked, LIMITS, false, new Goal(1, 0, 0), classes), 7);
    }

    /** Lets {@code ms} pass, then answers the last attempt unless it has ended. */
    static void serve(FakeSidecar sidecar, double ms) {
        FakeSidecar.SentAttempt attempt = sidecar.lastAttempt();
        sidecar.advance(ms);
        if (attempt.outcome == null) {
            sidecar.end(attempt, Outcome.OK);
        }
    }
}
