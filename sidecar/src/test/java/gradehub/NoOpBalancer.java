package gradehub;

import java.util.List;

/** A balancer that does nothing, for tests of the code that hosts one. */
public class NoOpBalancer implements Balancer {

    @Override
    public void start(double nowMs) {}

    @Override
    public void upstreams(double nowMs, ListKind kind, List<Upstream> entries) {}

    @Override
    public void request(double nowMs, Request request) {}

    @Override
    public void streamStarted(double nowMs, int request, int attempt, double elapsedMs) {}

    @Override
    public void attemptEnded(double nowMs, AttemptEnd end) {}

    @Override
    public void clientDisconnected(double nowMs, int request) {}

    @Override
    public void timer(double nowMs, int token) {}
}
