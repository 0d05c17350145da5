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
 * The part of a sidecar that calls one service. Hosts one balancer: reports events to it and carries out its actions.
 * The balancer acts while it handles an event, so events that result from its actions are put on the event queue and
 * never reported back during that call.
 */
final class ServiceClient implements Balancer.Actions {

    /** A request that is not yet answered or still has attempts in flight. */
    static final class OpenRequest {
        final int id;
        final ApplicationCall call;
        final long deadlineMicros;
        final List<Attempt> attempts = new ArrayList<>(2);
        int attemptsInFlight;
        boolean answered;

        OpenRequest(int id, ApplicationCall call, long deadlineMicros) {
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
    private final Map<Integer, OpenRequest> openRequests = new HashMap<>();
    private int lastRequestId;
    private boolean running = true;

    ServiceClient(SimulationContext context, SimulatedSidecar sidecar, Balancer.Settings settings, long seed) {
        this.context = context;
        this.sidecar = sidecar;
        this.maxAttempts = settings.limits().maxAttempts();
        this.balancer = new LoadShiftingBalancer(settings, seed, this);
    }

    Balancer balancer() {
        return balancer;
    }

    void start(long nowMicros) {
        balancer.start(SimulationContext.toMillis(nowMicros));
    }

    /** The sidecar's process has ended: no further events are reported to the balancer. */
    void stop() {
        running = false;
        openRequests.clear();
    }

    void updateUpstreams(long nowMicros, ListKind kind, List<Upstream> entries) {
        balancer.upstreams(SimulationContext.toMillis(nowMicros), kind, entries);
    }

    void handleRequest(long nowMicros, ApplicationCall call, long deadlineMicros, boolean retry) {
        OpenRequest request = new OpenRequest(++lastRequestId, call, deadlineMicros);
        openRequests.put(request.id, request);
        double timeoutMillis = SimulationContext.toMillis(deadlineMicros - nowMicros);
        balancer.request(SimulationContext.toMillis(nowMicros), new Request(request.id, 0, 0, timeoutMillis, retry, 0));
    }

    /** Reports the end of an attempt to the balancer; only the first end of an attempt counts. */
    void attemptEnded(long nowMicros, Attempt attempt, Outcome outcome) {
        if (!running || attempt.ended) {
            return;
        }
        attempt.ended = true;
        OpenRequest request = attempt.request;
        request.attemptsInFlight--;
        context.measurements.attemptEnded(nowMicros, outcome);
        if (outcome == Outcome.OK) {
            sendAnswer(request, ApplicationCall.Answer.SERVED);
        }
        double elapsedMillis = SimulationContext.toMillis(nowMicros - attempt.sentMicros);
        balancer.attemptEnded(
                SimulationContext.toMillis(nowMicros),
                new AttemptEnd(
                        request.id,
                        attempt.number,
                        attempt.upstream.machine().number(),
                        outcome,
                        elapsedMillis,
                        request.answered,
                        NO_REPORT));
        if (request.answered && request.attemptsInFlight == 0) {
            openRequests.remove(request.id);
        }
    }

    private void sendAnswer(OpenRequest request, ApplicationCall.Answer answer) {
        if (request.answered) {
            return;
        }
        request.answered = true;
        long nowMicros = context.queue.nowMicros();
        boolean attempted = !request.attempts.isEmpty();
        context.measurements.requestAnswered(nowMicros, nowMicros - request.deadlineMicros, answer, attempted);
        context.queue.scheduleAfter(
                context.network.model().localMicros(), now -> request.call.answerReceived(now, answer));
    }

    private void completeRequest(int requestId, ApplicationCall.Answer answer) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null) {
            sendAnswer(request, answer);
            if (request.attemptsInFlight == 0) {
                openRequests.remove(requestId);
            }
        }
    }

    @Override
    public void send(int requestId, int upstreamId, double timeoutMs) {
        OpenRequest request = openRequests.get(requestId);
        long nowMicros = context.queue.nowMicros();
        long requestedDeadlineMicros = timeoutMs == 0
                ? request.deadlineMicros
                : nowMicros + Math.round(timeoutMs * SimulationContext.MICROS_PER_MILLI);
        long attemptDeadlineMicros = Math.min(requestedDeadlineMicros, request.deadlineMicros);
        SimulatedUpstream target = context.upstreams.get(upstreamId);
        Attempt attempt = new Attempt(this, request, request.attempts.size(), target, nowMicros, attemptDeadlineMicros);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (request.answered || attempt.number >= maxAttempts || request.deadlineMicros <= nowMicros) {
            context.queue.scheduleAt(nowMicros, now -> attemptEnded(now, attempt, Outcome.NOT_SENT));
            return;
        }
        context.queue.scheduleAt(attemptDeadlineMicros, attempt);
        transmit(nowMicros, attempt);
    }

    private void transmit(long nowMicros, Attempt attempt) {
        Topology.Machine target = attempt.upstream.machine();
        context.measurements.attemptSent(nowMicros, target, Network.distance(sidecar.machine(), target));
        if (context.isReachable(sidecar.machine(), target)) {
            long delayMicros = context.delayMicros(sidecar.machine(), target);
            context.queue.scheduleAt(nowMicros + delayMicros, now -> attempt.upstream.receive(now, attempt));
        } else {
            long timeoutMicros = context.network.model().connectTimeoutMillis() * SimulationContext.MICROS_PER_MILLI;
            context.queue.scheduleAt(
                    nowMicros + timeoutMicros, now -> attemptEnded(now, attempt, Outcome.CONNECT_FAILED));
        }
    }

    /** Delivers the outcome of an attempt from its upstream after the network delay; lost if the path is cut. */
    void deliverOutcome(long nowMicros, Attempt attempt, Outcome outcome) {
        Topology.Machine source = attempt.upstream.machine();
        if (running && !attempt.ended && context.isReachable(sidecar.machine(), source)) {
            long delayMicros = context.delayMicros(sidecar.machine(), source);
            context.queue.scheduleAt(nowMicros + delayMicros, now -> attemptEnded(now, attempt, outcome));
        }
    }

    @Override
    public void refuse(int requestId, double retryAfterMs) {
        completeRequest(requestId, ApplicationCall.Answer.REFUSED);
    }

    @Override
    public void fail(int requestId) {
        completeRequest(requestId, ApplicationCall.Answer.FAILED);
    }

    @Override
    public void cancel(int requestId, int attemptNumber) {
        OpenRequest request = openRequests.get(requestId);
        if (request != null && attemptNumber >= 0 && attemptNumber < request.attempts.size()) {
            Attempt cancelled = request.attempts.get(attemptNumber);
            context.queue.scheduleAfter(0, now -> attemptEnded(now, cancelled, Outcome.CANCELLED));
        }
    }

    @Override
    public void probe(int upstreamId) {
        throw new IllegalStateException("the balancer requested a health probe, but the simulation disables probes");
    }

    @Override
    public void timer(double delayMs, int token) {
        context.queue.scheduleAfter((long) Math.ceil(delayMs * SimulationContext.MICROS_PER_MILLI), now -> {
            if (running) {
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
        throw new IllegalStateException(
                "the balancer fetched the list, but the simulation provides it by subscription only");
    }

    @Override
    public void closeIdle(int upstreamId) {
        // Connections are not simulated.
    }

    @Override
    public void log(String line) {
        context.measurements.moduleLogLineWritten();
    }
}
