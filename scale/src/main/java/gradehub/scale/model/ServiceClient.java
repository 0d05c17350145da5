package gradehub.scale.model;

import gradehub.Balancer;
import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.Balancer.Upstream;
import gradehub.LoadShiftingBalancer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The part of a sidecar that calls one service: hosts one decision module, tells it what happens and does what it asks
 * for. As the module acts during its call, all that its actions bring about goes through the event queue.
 */
final class ServiceClient implements Balancer.Actions {

    /** A request in hand: until it is answered and each of its attempts has ended. */
    static final class Exchange {
        final int id;
        final ApplicationCall call;
        final long deadlineMicros;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean over;

        Exchange(int id, ApplicationCall call, long deadlineMicros) {
            this.id = id;
            this.call = call;
            this.deadlineMicros = deadlineMicros;
        }
    }

    private static final double[] NO_REPORT = {};

    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private final int maxAttempts;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private int lastRequest;
    private boolean live = true;

    ServiceClient(SimulationContext context, SimulatedSidecar sidecar, Balancer.Settings settings, long seed) {
        this.context = context;
        this.sidecar = sidecar;
        this.maxAttempts = settings.limits().maxAttempts();
        this.balancer = new LoadShiftingBalancer(settings, seed, this);
    }

    /** The decision module. */
    Balancer balancer() {
        return balancer;
    }

    void start(long nowMicros) {
        balancer.start(SimulationContext.toMillis(nowMicros));
    }

    /** The sidecar's process has ended: nothing is told any more. */
    void stop() {
        live = false;
        exchanges.clear();
    }

    void listed(long nowMicros, ListKind kind, List<Upstream> entries) {
        balancer.upstreams(SimulationContext.toMillis(nowMicros), kind, entries);
    }

    void request(long nowMicros, ApplicationCall call, long deadlineMicros, boolean repeat) {
        Exchange exchange = new Exchange(++lastRequest, call, deadlineMicros);
        exchanges.put(exchange.id, exchange);
        double timeoutMillis = SimulationContext.toMillis(deadlineMicros - nowMicros);
        balancer.request(
                SimulationContext.toMillis(nowMicros), new Request(exchange.id, 0, 0, timeoutMillis, repeat, 0));
    }

    /** An attempt has ended; what comes after its first end is not told. */
    void attemptEnded(long nowMicros, Attempt attempt, Outcome outcome) {
        if (!live || attempt.ended) {
            return;
        }
        attempt.ended = true;
        Exchange exchange = attempt.exchange;
        exchange.out--;
        context.measurements.attemptEnded(nowMicros, outcome);
        if (outcome == Outcome.OK) {
            answer(exchange, ApplicationCall.Answer.SERVED);
        }
        double elapsedMillis = SimulationContext.toMillis(nowMicros - attempt.sentMicros);
        balancer.attemptEnded(
                SimulationContext.toMillis(nowMicros),
                new AttemptEnd(
                        exchange.id,
                        attempt.number,
                        attempt.upstream.machine().number(),
                        outcome,
                        elapsedMillis,
                        exchange.over,
                        NO_REPORT));
        if (exchange.over && exchange.out == 0) {
            exchanges.remove(exchange.id);
        }
    }

    private void answer(Exchange exchange, ApplicationCall.Answer answer) {
        if (exchange.over) {
            return;
        }
        exchange.over = true;
        long nowMicros = context.queue.nowMicros();
        boolean sent = !exchange.attempts.isEmpty();
        context.measurements.requestAnswered(nowMicros, nowMicros - exchange.deadlineMicros, answer, sent);
        context.queue.scheduleAfter(context.network.model().localMicros(), now -> exchange.call.answered(now, answer));
    }

    private void finish(int request, ApplicationCall.Answer answer) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null) {
            answer(exchange, answer);
            if (exchange.out == 0) {
                exchanges.remove(request);
            }
        }
    }

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        Exchange exchange = exchanges.get(request);
        long now = context.queue.nowMicros();
        long wanted = timeoutMs == 0
                ? exchange.deadlineMicros
                : now + Math.round(timeoutMs * SimulationContext.MICROS_PER_MILLI);
        long deadline = Math.min(wanted, exchange.deadlineMicros);
        SimulatedUpstream target = context.upstreams.get(upstream);
        Attempt attempt = new Attempt(this, exchange, exchange.attempts.size(), target, now, deadline);
        exchange.attempts.add(attempt);
        exchange.out++;
        if (exchange.over || attempt.number >= maxAttempts || exchange.deadlineMicros <= now) {
            context.queue.scheduleAt(now, later -> attemptEnded(later, attempt, Outcome.NOT_SENT));
            return;
        }
        context.queue.scheduleAt(deadline, attempt);
        transmit(now, attempt);
    }

    private void transmit(long now, Attempt attempt) {
        Topology.Machine target = attempt.upstream.machine();
        context.measurements.attemptSent(now, target, Network.distance(sidecar.machine(), target));
        if (context.isReachable(sidecar.machine(), target)) {
            long delay = context.delayMicros(sidecar.machine(), target);
            context.queue.scheduleAt(now + delay, later -> attempt.upstream.arrive(later, attempt));
        } else {
            long timeout = context.network.model().connectTimeoutMillis() * SimulationContext.MICROS_PER_MILLI;
            context.queue.scheduleAt(now + timeout, later -> attemptEnded(later, attempt, Outcome.CONNECT_FAILED));
        }
    }

    /** Passes an upstream's answer on, as far as there is a path. */
    void reply(long nowMicros, Attempt attempt, Outcome outcome) {
        Topology.Machine from = attempt.upstream.machine();
        if (live && !attempt.ended && context.isReachable(sidecar.machine(), from)) {
            long delay = context.delayMicros(sidecar.machine(), from);
            context.queue.scheduleAt(nowMicros + delay, now -> attemptEnded(now, attempt, outcome));
        }
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        finish(request, ApplicationCall.Answer.REFUSED);
    }

    @Override
    public void fail(int request) {
        finish(request, ApplicationCall.Answer.FAILED);
    }

    @Override
    public void cancel(int request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt >= 0 && attempt < exchange.attempts.size()) {
            Attempt cancelled = exchange.attempts.get(attempt);
            context.queue.scheduleAfter(0, now -> attemptEnded(now, cancelled, Outcome.CANCELLED));
        }
    }

    @Override
    public void probe(int upstream) {
        throw new IllegalStateException("the settings of the model allow no probes");
    }

    @Override
    public void timer(double delayMs, int token) {
        context.queue.scheduleAfter((long) Math.ceil(delayMs * SimulationContext.MICROS_PER_MILLI), now -> {
            if (live) {
                balancer.timer(SimulationContext.toMillis(now), token);
            }
        });
    }

    @Override
    public void subscribe(boolean on) {
        sidecar.subscribe(this, on);
    }

    @Override
    public void fetchList() {
        throw new IllegalStateException("a subscribed module asks for no single list");
    }

    @Override
    public void closeIdle(int upstream) {
        // Connections are no part of the model.
    }

    @Override
    public void log(String line) {
        context.measurements.moduleLogLineWritten();
    }
}
