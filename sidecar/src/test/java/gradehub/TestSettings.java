package gradehub;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Tenant;
import java.util.List;

/** Settings that tests start from. */
final class TestSettings {

    static final double TICK_MS = 5;

    private TestSettings() {}

    static RequestClass requestClass(Effect effect, Group group, double worth) {
        return new RequestClass("class", 1000, 4000, worth, 0, effect, group, 600, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(1, new Limits(4, true, true, false, 0), false, List.of(), classes);
    }

    static Settings settings(int sidecars, Limits limits, boolean pull, List<Tenant> tenants, RequestClass... classes) {
        return new Settings(
                List.of(classes),
                tenants,
                sidecars,
                pull,
                true,
                TICK_MS,
                0.1,
                List.of(),
                false,
                limits,
                new Contract(0.25, 10_000, 3, 2000, 10_000),
                new Goal(1, 0, 0));
    }

    static Settings safe() {
        return settings(requestClass(Effect.SAFE, Group.ALL, 1));
    }
}
