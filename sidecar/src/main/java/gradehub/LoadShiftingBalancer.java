package gradehub;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Balances load by shifting each member's share until latencies are equal. The interface (events and actions)
 * is {@code Balancer.java}. The normal path goes from {@link #request} to the draw in {@link #choose};
 * {@link #updateShares} moves the shares. Each exception to it has a class that names the failure it handles.
 */
public final class LoadShiftingBalancer implements Balancer {

    static final double SHARE_TICK_MS = 1000; // enough for many answers and for a change of load to show
    private static final double MIN_TIMEOUT = 2; // in median latencies; a shorter timeout is no failure
    private static final double REPEAT_VALUE = 0.1; // relative to a first try, whose arrival started the aim

    private static final double TICKS_PER_AIM = 16; // control ticks within the shortest aim
    private static final int SUBSCRIBE_TIMER = 2; // every other token is the control timer's

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;
    private final RetryPolicy retries = new RetryPolicy();
    private final AdmissionControl admission;
    private final LoadShedder shedder = new LoadShedder();
    private final TreeSet<Call> waiting = shedder.queue;
    private final double controlMs;
    private final List<ClassStats> classes = new ArrayList<>();
    private final UpstreamList list;
    private final List<UpstreamState> members;
    private final Map<Integer, Call> calls = new HashMap<>();
    private long received;
    private final boolean probesBeforeSend; // where upstreams report load only to probes
    private final List<Call> awaitingProbe = new ArrayList<>();
    private boolean controlArmed;
    private boolean subscribeArmed;
    private int listFailures;
    private double nextShareTickMs;

    /** Creates a balancer with random draws seeded by {@code seed}; it acts only through {@code actions}. */
    public LoadShiftingBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.list = new UpstreamList(settings.sidecars(), random);
        this.members = list.members;
        this.ejection = new OutlierEjection(actions);
        this.slowStart = new SlowStart(settings.contract());
        settings.classes().forEach(spec -> classes.add(new ClassStats(spec, settings.tickMs())));
        probesBeforeSend = settings.limits().probes() && settings.reportsOnProbe();
        controlMs = Math.max(settings.tickMs(), settings.shortestAimMs() / TICKS_PER_AIM);
        admission = new AdmissionControl(settings.goal(), classes);
    }

    @Override
    public void start(double nowMs) {
        if (settings.pollsList()) {
            actions.subscribe(true);
        }
    }

    @Override
    public void request(double nowMs, Request request) {
        ClassStats stats = classes.get(request.requestClass());
        double elapsedMs = stats.elapsedMs(nowMs, request, settings.retriesMarked());
        double answerMs = request.timeoutMs() - 2 * settings.tickMs();
        double aimMs = Math.min(answerMs, stats.spec.aimMs() - elapsedMs - 2 * settings.tickMs());
        double validMs = stats.spec.lateWorth() == 0 ? aimMs : answerMs; // late answers may have value
        stats.offered++;
        double value = admission.answerValue(stats) * (request.retry() || elapsedMs > 0 ? REPEAT_VALUE : 1);
        Call call = new Call(request, stats, value, received++, nowMs + aimMs, nowMs + validMs);
        call.firstArrivalMs = nowMs - elapsedMs;
        calls.put(call.id, call);
        slowStart.recordRequest(call.costMs);
        retries.recordRequest();
        armControl();
        Call displaced = admission.selectRefused(call, calls.size(), waiting);
        if (displaced != null) {
            waiting.remove(displaced);
            answerUnserved(displaced);
        }
        if (displaced != call) {
            dispatchOrQueue(nowMs, call);
        }
    }

    private void dispatchOrQueue(double nowMs, Call call) {
        if (AdmissionControl.isTooLate(nowMs, call)
                || call.attempts.isEmpty() && lowTraffic() && admission.shouldThrottle(random.nextDouble())) {
            answerUnserved(call);
        } else if (!waiting.isEmpty() || !dispatch(nowMs, call)) {
            waiting.add(call);
            shedder.shed(nowMs, controlMs).forEach(this::answerUnserved);
        }
    }

    private boolean dispatch(double nowMs, Call call) {
        UpstreamState upstream = choose(nowMs, call);
        if (probesBeforeSend
                && upstream != null
                && call.probes < Call.MAX_PROBES
                && nowMs - upstream.loadUpdatedMs > settings.tickMs()) {
            call.probe(upstream, nowMs);
            awaitingProbe.add(call);
            actions.probe(upstream.id);
        } else if (upstream != null) {
            send(nowMs, call, upstream);
        }
        return upstream != null;
    }

    /** Draws an eligible member in proportion to its share; ignores ejections of more than half of them. */
    private UpstreamState choose(double nowMs, Call call) {
        int ejected = 0;
        for (UpstreamState upstream : members) {
            ejected += ejection.excludes(nowMs, upstream, call.stats) ? 1 : 0;
        }
        boolean avoidEjected = 2 * ejected <= members.size();
        UpstreamState drawn = null; // weighted reservoir sampling in one pass
        double sum = 0;
        for (UpstreamState upstream : members) {
            boolean tried = call.attempts.size() < members.size() && call.hasTried(upstream);
            boolean excluded = tried || avoidEjected && ejection.excludes(nowMs, upstream, call.stats);
            if (!excluded && eligible(nowMs, call, upstream)) {
                double weight = upstream.share * slowStart.capacityFraction(nowMs, upstream.listed);
                sum += weight;
                drawn = random.nextDouble() * sum < weight ? upstream : drawn;
            }
        }
        return drawn;
    }

    private boolean eligible(double nowMs, Call call, UpstreamState upstream) {
        double warmth = slowStart.capacityFraction(nowMs, upstream.listed);
        return retries.allowsRetryAt(nowMs, call, upstream)
                && upstream.limit.admits(nowMs, upstream.inFlight, warmth)
                && (warmth >= 1 || admitsWarming(nowMs, call, upstream, warmth))
                && !call.wouldMissAim(nowMs, upstream);
    }

    private boolean admitsWarming(double nowMs, Call call, UpstreamState upstream, double warmth) {
        double part = list.weightFraction(upstream);
        return call.attempts.isEmpty() && slowStart.admits(nowMs, upstream.slowStartBudget, warmth, part);
    }

    private void send(double nowMs, Call call, UpstreamState upstream) {
        retries.recordAttempt(call);
        call.startAttempt(upstream, nowMs);
        slowStart.recordAttempt(upstream.slowStartBudget, call.costMs);
        ejection.recordAttempt(nowMs, upstream, call.stats);
        actions.send(call.id, upstream.id, call.deadlineMs - nowMs);
    }

    private void updateShares(double nowMs) {
        nextShareTickMs = nowMs + SHARE_TICK_MS;
        LoadShares.update(nowMs, members);
        // If single attempts stay slow, the baseline latency rises: the servers are slow, there is no queue.
        boolean starved = shedder.hasShed() && members.stream().allMatch(member -> member.limit.atMostOne());
        classes.forEach(stats -> stats.tick(starved));
        members.forEach(UpstreamState::tick);
        slowStart.tick();
        shedder.tick(actions);
        admission.tick(actions);
    }

    @Override
    public void attemptEnded(double nowMs, AttemptEnd end) {
        Call call = calls.get(end.request());
        Attempt attempt = call == null ? null : call.attempt(end.attempt());
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        attempt.end(end.outcome());
        if (end.report().length > 0) {
            attempt.upstream.updateLoad(nowMs, 1 + settings.reportedRequests(end.report()));
        }
        if (!call.streaming) {
            recordResult(nowMs, attempt, end.outcome(), end.elapsedMs());
        }
        if (end.requestDone() || call.done) {
            finish(call);
        } else if (call.inFlight == 0
                && retries.allowsRetry(nowMs, call, settings.limits().maxAttempts())) {
            dispatchOrQueue(nowMs, call);
        } else if (call.inFlight == 0) {
            answerUnserved(call);
        }
        dispatchWaiting(nowMs);
    }

    private void recordResult(double nowMs, Attempt attempt, Outcome how, double latencyMs) {
        UpstreamState upstream = attempt.upstream;
        ClassStats stats = attempt.call.stats;
        if (how == Outcome.OK) {
            ejection.recordAnswer(nowMs, upstream, members.size());
            ejection.recordClassSuccess(upstream, stats);
            attempt.call.served = true;
            stats.recordAnswer(latencyMs);
            upstream.recordLatencyRatio(latencyMs / stats.baselineMs());
        } else if (how == Outcome.NOT_SENT || how == Outcome.CANCELLED && latencyMs < stats.medianMs) {
            return;
        } else if (how != Outcome.CANCELLED) {
            // Counts a failure with its full timeout; else an upstream that fails fast would attract load.
            latencyMs = Math.max(latencyMs, attempt.timeoutMs);
            if (how == Outcome.TIMEOUT) {
                stats.updateMedian(latencyMs); // else an overloaded fleet with only timeouts looks idle
            }
            // A client's short timeout is no evidence of a faulty upstream.
            boolean shortTimeout = how == Outcome.TIMEOUT && latencyMs < MIN_TIMEOUT * stats.medianMs;
            if (!shortTimeout) {
                ejection.recordFailure(nowMs, upstream, stats);
            }
        }
        admission.attemptEnded(how == Outcome.OK && latencyMs <= stats.spec.aimMs());
        upstream.latencyRatioSum += latencyMs / stats.medianMs;
        upstream.samples++;
        if (how != Outcome.RESET) {
            // A reset does not indicate a queue; the share and the count of consecutive failures cover it.
            estimateLoad(nowMs, upstream, latencyMs / stats.baselineMs());
            double minimum = Math.min(1, list.initialConcurrency() / 2);
            upstream.limit.adjust(
                    nowMs, upstream.inFlight, upstream.headroom(stats, latencyMs), minimum, stats.medianMs);
        }
    }

    private void answerUnserved(Call call) {
        if (retries.isSafeToRetry(call)) {
            actions.refuse(call.id, settings.limits().maxRetryAfterMs());
        } else {
            actions.fail(call.id);
        }
        finish(call);
    }

    private void finish(Call call) {
        if (!call.done && !call.served) {
            call.stats.unservedRequests.add(call.firstArrivalMs);
        }
        call.done = true;
        cancelOthers(call, null);
        if (call.inFlight == 0) {
            calls.remove(call.id);
        }
    }

    private void cancelOthers(Call call, Attempt kept) {
        for (Attempt attempt : call.attempts) {
            if (attempt != kept && attempt.outcome == null && settings.limits().cancel()) {
                actions.cancel(call.id, attempt.number);
            }
        }
    }

    @Override
    public void streamStarted(double nowMs, int request, int attempt, double elapsedMs) {
        Call call = calls.get(request);
        Attempt started = call == null ? null : call.attempt(attempt);
        if (started == null || started.outcome != null || call.streaming) {
            return;
        }
        call.streaming = true; // its duration now depends on the client, not on the upstream
        started.upstream.attempts.remove(started);
        recordResult(nowMs, started, Outcome.OK, elapsedMs);
        cancelOthers(call, started);
    }

    @Override
    public void clientDisconnected(double nowMs, int request) {
        Call call = calls.get(request);
        if (call != null && !call.done) {
            waiting.remove(call);
            awaitingProbe.remove(call);
            finish(call);
        }
    }

    private boolean lowTraffic() {
        return !probesBeforeSend && list.initialConcurrency() < 1;
    }

    @Override
    public void probeEnded(double nowMs, int upstream, Outcome outcome, double elapsedMs, double[] report) {
        UpstreamState probed = list.find(upstream);
        if (probed != null && outcome == Outcome.OK) {
            ejection.recordAnswer(nowMs, probed, members.size());
            probed.updateLoad(nowMs, 1 + settings.reportedRequests(report));
        } else if (probed != null) {
            probed.updateLoad(nowMs, Double.MAX_VALUE); // until it answers a later probe
            ejection.eject(nowMs, probed, "a probe found it out of reach");
        }
        resumeProbed(nowMs, call -> call.probedUpstream == probed);
    }

    /** Estimates load from the latest attempt: at low traffic a sidecar has no other sign of a queue. */
    private void estimateLoad(double nowMs, UpstreamState upstream, double load) {
        if (upstream.loadUpdatedMs < nowMs && lowTraffic()) {
            upstream.updateLoad(nowMs, load);
        }
    }

    private void resumeProbed(double nowMs, Predicate<Call> due) {
        List<Call> ready = awaitingProbe.stream().filter(due).toList();
        awaitingProbe.removeAll(ready);
        for (Call call : ready) {
            UpstreamState upstream = call.probedUpstream;
            boolean fresh = upstream.isReady() && nowMs - upstream.loadUpdatedMs <= settings.tickMs();
            if (fresh && !ejection.excludes(nowMs, upstream, call.stats) && eligible(nowMs, call, upstream)) {
                send(nowMs, call, upstream);
            } else {
                dispatchOrQueue(nowMs, call);
            }
        }
    }

    private void dispatchWaiting(double nowMs) {
        while (!waiting.isEmpty() && dispatch(nowMs, waiting.first())) {
            waiting.pollFirst();
        }
    }

    @Override
    public void setMaxClientRequests(int requests) {
        admission.maxConnections = requests;
    }

    private void checkMembers(double nowMs) {
        for (UpstreamState upstream : members) {
            if (probesBeforeSend && upstream.ejection.ejected && !upstream.ejection.excludes(nowMs)) {
                upstream.ejection.recordTrial(nowMs);
                actions.probe(upstream.id);
            }
            Attempt oldest = upstream.attempts.peekFirst();
            if (oldest == null) {
                continue;
            }
            double ageMs = nowMs - oldest.sentMs;
            estimateLoad(nowMs, upstream, Math.max(upstream.load, ageMs / oldest.call.stats.baselineMs()));
            ejection.checkUnresponsive(nowMs, upstream, oldest);
            if (upstream.ejection.ejected && settings.limits().secondCopies() && waiting.isEmpty()) {
                for (Attempt attempt : upstream.attempts) {
                    sendSecondCopy(nowMs, attempt);
                }
            }
        }
    }

    /** Sends a second copy of an attempt stuck at an ejected upstream if class, budget and capacity allow. */
    private void sendSecondCopy(double nowMs, Attempt stuck) {
        Call call = stuck.call;
        boolean due = !call.done && call.inFlight == 1 && nowMs - stuck.sentMs > call.stats.medianMs;
        boolean allowed =
                due && retries.allowsRetry(nowMs, call, settings.limits().maxAttempts());
        UpstreamState other = allowed ? choose(nowMs, call) : null;
        if (other != null && other != stuck.upstream) {
            send(nowMs, call, other);
        }
    }

    private void armControl() {
        if (!controlArmed && !calls.isEmpty()) {
            controlArmed = true;
            actions.timer(controlMs, 1);
        }
    }

    @Override
    public void timer(double nowMs, int token) {
        if (token == SUBSCRIBE_TIMER) {
            subscribeArmed = false;
            actions.subscribe(true);
        } else if (controlArmed) {
            controlArmed = false;
            checkMembers(nowMs);
            resumeProbed(nowMs, call -> nowMs - call.probedMs > controlMs);
            dispatchWaiting(nowMs);
            shedder.shed(nowMs, controlMs).forEach(this::answerUnserved);
            if (nowMs >= nextShareTickMs) {
                updateShares(nowMs);
            }
            armControl();
        }
    }

    @Override
    public void upstreams(double nowMs, ListKind kind, List<Upstream> entries) {
        if (kind != ListKind.FAILED) {
            listFailures = 0;
            list.apply(nowMs, kind, entries);
            dispatchWaiting(nowMs);
        } else if (!subscribeArmed) {
            subscribeArmed = true; // backoff with jitter: many sidecars use one service
            double maxMs = Math.min(DiscoveryTimeouts.MAX_DELAY_MS, SHARE_TICK_MS / 4 * (1 << listFailures));
            listFailures = Math.min(5, listFailures + 1);
            actions.timer(maxMs * (1 + random.nextDouble()) / 2, SUBSCRIBE_TIMER);
        }
    }
}
