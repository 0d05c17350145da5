package gradehub.node;

import gradehub.Balancer;
import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.Effect;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import gradehub.node.MemberReader.Member;
import gradehub.node.MemberReader.Update;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Runs the decision module: delivers network events to it and carries out its actions, all on one event loop. The
 * module calls actions while it handles an event, so events that result from them are queued until it returns.
 */
final class Engine implements Balancer.Actions, Upstreams.Listener {

    /** Receives the final answer to a request. */
    interface Client {
        void answer(Answer answer);

        /** The state of the connection, also where the event loop has not processed a change yet. */
        ReadAheadChannel.PeerState state();

        /**
         * Called once, when no further attempt is sent, before any answer. {@code mustNotRepeat} says that an upstream may
         * have run the request, or may yet, and that its class forbids a second run.
         */
        void closed(boolean mustNotRepeat);

        /** Called once, when the request is closed and no attempt holds it any more. */
        void completed();
    }

    /** Provides the list of upstreams when the module asks for it. */
    interface ListSource {
        void subscribe(boolean on);

        void fetch();
    }

    /** A client's request in progress, kept until it is answered and all of its attempts have ended. */
    static final class Exchange {
        private final int id;
        private final ClientRequest request;
        private final Client client;
        private final double deadlineMs;
        private final List<Upstreams.Attempt> attempts = new ArrayList<>(2);
        private int attemptsInFlight;
        /** Answered or abandoned by its client: no further answer is due and no further attempt is sent. */
        private boolean closed;

        private Future<?> deadlineTimer;

        private Exchange(int id, ClientRequest request, Client client, double deadlineMs) {
            this.id = id;
            this.request = request;
            this.client = client;
            this.deadlineMs = deadlineMs;
        }

        ClientRequest request() {
            return request;
        }

        // Loops in place of streams: lambdas on rare paths would be linked while requests wait.

        private boolean mayRun() {
            for (Upstreams.Attempt attempt : attempts) {
                if (attempt.mayRun()) {
                    return true;
                }
            }
            return false;
        }

        private boolean hasAttemptBeside(Upstreams.Attempt unsent) {
            for (Upstreams.Attempt attempt : attempts) {
                if (attempt != unsent && attempt.isInFlight()) {
                    return true;
                }
            }
            return false;
        }
    }

    /** An event for the module; {@code exchange} is null if it does not belong to a single request. */
    private record Event(Exchange exchange, DoubleConsumer notification) {}

    /** A named class, so that the training run can load it even if no client disconnects during the run. */
    private record ClientLeft(Balancer balancer, int request) implements DoubleConsumer {
        @Override
        public void accept(double nowMs) {
            balancer.clientDisconnected(nowMs, request);
        }
    }

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final double[] NO_REPORT = {};

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final double slackMs;
    private final Upstreams upstreams;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final Map<String, Integer> memberIds = new HashMap<>();
    private final StartTimes startTimes = new StartTimes();
    private final RequestLog requestLog = new RequestLog();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean dispatching;
    private ListSource listSource;
    private int lastRequest;
    private int lastMember;
    /** When the last answer is due, for any request; known once the sidecar shuts down. */
    private double answerByMs = Double.POSITIVE_INFINITY;

    Engine(
            EventLoop loop,
            Clock clock,
            Config config,
            SocketBudget sockets,
            MemoryBudget memory,
            Supplier<ReadAheadChannel> channelFactory,
            Function<Balancer.Actions, Balancer> balancerFactory) {
        this.loop = loop;
        this.clock = clock;
        this.settings = config.settings();
        this.slackMs = config.answerSlackMs();
        this.upstreams = new Upstreams(loop, clock, config, sockets, memory, channelFactory, this);
        this.balancer = balancerFactory.apply(this);
        this.balancer.setMaxClientRequests(sockets.maxConcurrentRequests());
    }

    void start(ListSource listSource) {
        this.listSource = listSource;
        post(null, now -> balancer.start(now)); // a reference to an interface method can't be archived
    }

    RequestLog requestLog() {
        return requestLog;
    }

    /** The number of requests that are unanswered or still have attempts in flight. */
    int requestsInFlight() {
        return exchanges.size();
    }

    /** The number of listed upstreams, in any state. */
    int upstreamCount() {
        return memberIds.size();
    }

    /** Whether every idle upstream connection can be reused now. */
    boolean canReuseIdleConnections() {
        return upstreams.canReuseIdleConnections();
    }

    // ---- Events, delivered to the module in the order in which they happened.

    /** Starts a request; {@code queuedMs}, the time it waited before it was read, counts against its deadline. */
    Exchange request(ClientRequest request, double queuedMs, Client client) {
        double nowMs = clock.nowMs();
        double remainingMs = Math.max(0, Math.min(request.remainingMs() - queuedMs, answerByMs - nowMs));
        Exchange exchange = new Exchange(++lastRequest, request, client, nowMs + remainingMs);
        exchanges.put(exchange.id, exchange);
        // The module should answer before the deadline; this timer makes sure that the client gets an answer.
        exchange.deadlineTimer = schedule(remainingMs + slackMs / 2, () -> {
            LOG.log(System.Logger.Level.WARNING, "the decision module did not answer a request before its deadline");
            abandon(exchange);
        });
        post(
                exchange,
                now -> balancer.request(
                        now,
                        new Request(
                                exchange.id,
                                request.requestClass(),
                                request.tenant(),
                                exchange.deadlineMs - now,
                                request.repeat(),
                                request.costMs())));
        return exchange;
    }

    /** Ends the time of all requests, including later ones, at {@code timeMs}. */
    void answerAllBy(double timeMs) {
        answerByMs = timeMs;
        // The module knows only of the deadlines of later requests; this ends the others.
        schedule(Math.max(0, timeMs - clock.nowMs()) + slackMs / 2, this::abandonAll);
    }

    private void abandonAll() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (!exchange.closed) {
                abandon(exchange);
            }
        }
    }

    void clientDisconnected(Exchange exchange) {
        if (!exchange.closed) {
            record(RequestLog.Event.CLIENT_LEFT, exchange, exchange.attemptsInFlight + " in flight");
            close(exchange);
            notifyClientLeft(exchange);
        }
    }

    private void notifyClientLeft(Exchange exchange) {
        post(exchange, new ClientLeft(balancer, exchange.id));
    }

    @Override
    public boolean canStillSend(Upstreams.Attempt attempt) {
        Exchange exchange = attempt.exchange;
        return switch (exchange.client.state()) {
            case CONNECTED -> !exchange.closed && isSafeToSend(attempt);
            case CLOSED -> {
                clientDisconnected(exchange);
                yield false;
            }
            case UNKNOWN -> {
                endUnlessAttempted(exchange, attempt);
                yield false;
            }
        };
    }

    /**
     * Answers a request whose client may have left, as no attempt may begin for it. An attempt that began before may
     * still serve it.
     */
    private void endUnlessAttempted(Exchange exchange, Upstreams.Attempt unsent) {
        if (exchange.closed || exchange.hasAttemptBeside(unsent)) {
            return;
        }
        Answer answer = isHarmlessToRepeat(exchange) ? Answer.refused(0) : Answer.failed();
        record(RequestLog.Event.UNREAD_INPUT, exchange, "status " + answer.status());
        finish(exchange, answer);
        notifyClientLeft(exchange);
    }

    private boolean isHarmlessToRepeat(Exchange exchange) {
        return spec(exchange).effect() == Effect.SAFE || !exchange.mayRun();
    }

    private RequestClass spec(Exchange exchange) {
        return settings.classes().get(exchange.request.requestClass());
    }

    /** A keyed request that may have run is retried only while upstreams still remember its idempotency key. */
    private boolean isSafeToSend(Upstreams.Attempt attempt) {
        RequestClass spec = spec(attempt.exchange);
        double windowStartMs = clock.nowMs() - spec.windowMs();
        return spec.effect() != Effect.KEYED
                || attempt.exchange.attempts.stream()
                        .allMatch(other -> other == attempt || !other.mayHaveRun() || other.sentMs > windowStartMs);
    }

    @Override
    public void attemptEnded(Upstreams.Attempt attempt, Outcome outcome, double[] report, Answer answer) {
        Exchange exchange = attempt.exchange;
        if (answer != null) {
            recordDropped(exchange, outcome, answer);
            finish(exchange, answer);
        }
        post(exchange, now -> {
            exchange.attemptsInFlight--;
            balancer.attemptEnded(
                    now,
                    new AttemptEnd(
                            exchange.id,
                            attempt.number,
                            attempt.upstream,
                            outcome,
                            attempt.elapsedMs(),
                            exchange.closed,
                            report));
        });
    }

    /**
     * Applies a list of upstreams; {@code silentMs} is the time since discovery was last heard from. Ready upstreams are
     * registered here before the module is notified, all others are updated afterwards.
     */
    void upstreams(ListKind kind, Update update, double silentMs) {
        Map<Boolean, List<Member>> byReady =
                update.members().stream().collect(Collectors.partitioningBy(member -> member.status() == Status.READY));
        Set<Integer> listedIds = new HashSet<>();
        List<Upstream> entries = new ArrayList<>();
        for (Member member : update.members()) {
            int id = memberIds.computeIfAbsent(member.id(), name -> ++lastMember);
            listedIds.add(id);
            entries.add(new Upstream(
                    id,
                    member.status(),
                    startTimes.startedMs(member.id(), member.startedMs(), clock.nowMs(), silentMs),
                    member.zone(),
                    member.kind(),
                    member.cell(),
                    member.weight()));
        }
        byReady.get(true).forEach(member -> upstreams.update(memberIds.get(member.id()), member));
        // The module learns that an upstream is gone before attempts fail because of it.
        post(null, now -> balancer.upstreams(now, kind, entries));
        byReady.get(false).forEach(this::updateUnavailable);
        if (kind != ListKind.DELTA) {
            List<String> missing = memberIds.keySet().stream()
                    .filter(name -> !listedIds.contains(memberIds.get(name)))
                    .toList();
            missing.forEach(this::remove);
        }
    }

    private void updateUnavailable(Member member) {
        if (member.status() == Status.GONE) {
            remove(member.id());
        } else {
            upstreams.update(memberIds.get(member.id()), member);
        }
    }

    /** A member that comes back gets a new id, like any new member. */
    private void remove(String member) {
        Integer id = memberIds.remove(member);
        if (id != null) {
            upstreams.remove(id);
        }
    }

    void listFailed() {
        post(null, now -> balancer.upstreams(now, ListKind.FAILED, List.of()));
    }

    private void post(Exchange exchange, DoubleConsumer notification) {
        events.add(new Event(exchange, notification));
        if (dispatching) {
            return;
        }
        dispatching = true;
        for (Event event = events.poll(); event != null; event = events.poll()) {
            dispatch(event);
        }
        dispatching = false;
    }

    /** An exception from the module fails the request concerned but does not stop the sidecar. */
    private void dispatch(Event event) {
        Exchange exchange = event.exchange();
        try {
            event.notification().accept(clock.nowMs());
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "the decision module threw an exception", e);
            if (exchange != null && !exchange.closed) {
                abandon(exchange);
            }
        }
        if (exchange != null && exchange.closed && exchange.attemptsInFlight == 0) {
            complete(exchange);
        }
    }

    private void complete(Exchange exchange) {
        if (exchanges.remove(exchange.id) != null) {
            exchange.client.completed();
        }
    }

    // ---- Completion of requests: each passes through close() once.

    private void close(Exchange exchange) {
        exchange.closed = true;
        exchange.deadlineTimer.cancel(false);
        exchange.client.closed(!isHarmlessToRepeat(exchange));
        // The module may end a request while it handles another; this empty event makes sure that it is removed.
        post(exchange, now -> {});
    }

    private void finish(Exchange exchange, Answer answer) {
        if (exchange != null && !exchange.closed) {
            close(exchange);
            exchange.client.answer(answer);
        }
    }

    private void abandon(Exchange exchange) {
        record(RequestLog.Event.OVERDUE, exchange, exchange.attemptsInFlight + " in flight");
        finish(exchange, Answer.failed());
        for (Upstreams.Attempt attempt : List.copyOf(exchange.attempts)) {
            upstreams.abort(attempt, Outcome.CANCELLED);
        }
        notifyClientLeft(exchange);
    }

    // ---- The module's actions.

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            LOG.log(System.Logger.Level.ERROR, "the decision module sent an attempt for an unknown request");
            return;
        }
        double nowMs = clock.nowMs();
        double remainingMs = Math.min(exchange.deadlineMs, answerByMs) - nowMs;
        double attemptTimeoutMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        Upstreams.Attempt attempt =
                new Upstreams.Attempt(exchange, exchange.attempts.size(), upstream, nowMs, attemptTimeoutMs);
        recordRepeat(exchange);
        exchange.attempts.add(attempt);
        exchange.attemptsInFlight++;
        if (exchange.closed || attempt.number >= settings.limits().maxAttempts() || remainingMs <= 0) {
            upstreams.abort(attempt, Outcome.NOT_SENT);
        } else if (attemptTimeoutMs <= 0) {
            upstreams.abort(attempt, Outcome.TIMEOUT);
        } else {
            upstreams.send(attempt);
        }
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        Exchange exchange = exchanges.get(request);
        record(RequestLog.Event.REFUSED, exchange, "by the module");
        finish(exchange, Answer.refused(retryAfterMs));
    }

    @Override
    public void fail(int request) {
        Exchange exchange = exchanges.get(request);
        record(RequestLog.Event.FAILED, exchange, "by the module");
        finish(exchange, Answer.failed());
    }

    @Override
    public void cancel(int request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt >= 0 && attempt < exchange.attempts.size()) {
            upstreams.abort(exchange.attempts.get(attempt), Outcome.CANCELLED);
        }
    }

    /** No deployment of this sidecar allows probes; a probe that is requested anyway is reported as not sent. */
    @Override
    public void probe(int upstream) {
        post(null, now -> balancer.probeEnded(now, upstream, Outcome.NOT_SENT, 0, NO_REPORT));
    }

    @Override
    public void timer(double delayMs, int token) {
        schedule(delayMs, () -> post(null, now -> balancer.timer(now, token)));
    }

    @Override
    public void subscribe(boolean on) {
        listSource.subscribe(on);
    }

    @Override
    public void fetchList() {
        listSource.fetch();
    }

    @Override
    public void closeIdle(int upstream) {
        upstreams.closeIdle(upstream);
    }

    @Override
    public void log(String line) {
        LOG.log(System.Logger.Level.INFO, line);
    }

    private void recordRepeat(Exchange exchange) {
        if (!exchange.attempts.isEmpty()) {
            Upstreams.Attempt last = exchange.attempts.get(exchange.attempts.size() - 1);
            RequestLog.Event event = last.isInFlight() ? RequestLog.Event.COPIED : RequestLog.Event.RETRIED;
            record(event, exchange, "after " + last.outcome() + " at upstream " + last.upstream);
        }
    }

    /** Records that an upstream's answer is not passed on because there was no memory for its body. */
    private void recordDropped(Exchange exchange, Outcome outcome, Answer answer) {
        if (outcome == Outcome.OK && answer.isFailed()) {
            record(RequestLog.Event.NO_MEMORY, exchange, "for the answer");
        }
    }

    private void record(RequestLog.Event event, Exchange exchange, String detail) {
        if (exchange != null && !exchange.closed) {
            requestLog.record(event, exchange.request.id(), exchange.attempts.size(), detail);
        }
    }

    private Future<?> schedule(double delayMs, Runnable action) {
        return loop.schedule(action, Math.round(delayMs * 1000), TimeUnit.MICROSECONDS);
    }
}
