package gradehub.scale.model;

import gradehub.Balancer;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import gradehub.LoadShiftingBalancer;
import gradehub.scale.experiment.Experiment;
import java.util.ArrayList;
import java.util.List;

/** Hosts a balancer that has a list of upstreams; ignores all actions that the balancer requests. */
final class NoOpBalancerHost implements Balancer.Actions {

    private final Balancer balancer;

    NoOpBalancerHost(Experiment experiment, int upstreams) {
        Balancer.Settings settings = SimulatedSidecar.settings(experiment, 750);
        this.balancer = new LoadShiftingBalancer(settings, 1, this);
        balancer.start(0);
        List<Upstream> entries = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            entries.add(new Upstream(1000 + i, Status.READY, 0, i % 5, 0, i % 140, 1));
        }
        balancer.upstreams(1, ListKind.FULL, entries);
    }

    Balancer balancer() {
        return balancer;
    }

    @Override
    public void send(int request, int upstream, double timeoutMs) {}

    @Override
    public void refuse(int request, double retryAfterMs) {}

    @Override
    public void fail(int request) {}

    @Override
    public void cancel(int request, int attempt) {}

    @Override
    public void probe(int upstream) {}

    @Override
    public void timer(double delayMs, int token) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void closeIdle(int upstream) {}

    @Override
    public void log(String line) {}
}
