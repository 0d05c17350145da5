package gradehub;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The decision module: load shifting by latency-equalising shares. Its interface (events, actions) is
 * {@code Balancer.java}. The ordinary path comes first, from {@link #request} to the draw in {@link #pick};
 * {@link #shareTick} moves the shares. Each departure has a class that tells what it guards against.
 */
public final class LoadShiftingBalancer implements Balancer {

    static final double SHARE_TICK_MS = 1000; // many answers fall into it, and moved load shows within it
    private static final double BARELY = 2; // typical latencies: a shorter time-out is no failure
    private static final double REPEAT_WORTH = 0.1; // of a first try: the aim has run since that

    private static final double TICKS_IN_AIM = 16; // control ticks within the shortest aim
    private static final int SUBSCRIBE_TIMER = 2; // any other is the control timer

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
    private final boolean probesLoad; // before it sends, where upstreams report load to probes alone
    private final List<Call> awaitingProbe = new ArrayList<>();
    private boolean controlArmed;
    private boolean subscribeArmed;
    private int listFailures;
    private double nextShareTickMs;

    /** A balancer whose draws follow from {@code seed}, and that acts through {@code actions} alone. */
    public LoadShiftingBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.list = new UpstreamList(settings.sidecars(), random);
        this.members = list.members;
        this.ejection = new OutlierEjection(actions);
        this.slowStart = new SlowStart(settings.contract());
        settings.classes().forEach(spec -> classes.add(new ClassStats(spec, settings.tickMs())));
        probesLoad = settings.limits().probes() && settings.reportsOnProbe();
        controlMs = Math.max(settings.tickMs(), settings.shortestAimMs() / TICKS_IN_AIM);
        admission = new AdmissionControl(settings.goal(), classes);
    }

    @Override
    public void start(double nowMs) {
        if (settings.askForList()) {
            actions.subscribe(true);
        }
    }

    @Override
    public void request(double nowMs, Request request) {
        ClassStats stats = classes.get(request.requestClass());
        double elapsedMs = stats.elapsedMs(nowMs, request, settings.repeatsMarked());
        double answerMs = request.timeoutMs() - 2 * settings.tickMs();
        double aimMs = Math.min(answerMs, stats.spec.aimMs() - elapsedMs - 2 * settings.tickMs());
        double usefulMs = stats.spec.lateWorth() == 0 ? aimMs : answerMs; // else what is late earns too
        stats.offered++;
        double value = admission.answerValue(stats) * (request.repeat() || elapsedMs > 0 ? REPEAT_WORTH : 1);
        Call call = new Call(request, stats, value, received++, nowMs + aimMs, nowMs + usefulMs);
        call.firstArrivalMs = nowMs - elapsedMs;
        calls.put(call.id, call);
        slowStart.recordRequest(call.costMs);
        retries.recordRequest();
        armControl();
        Call displaced = admission.selectRefused(call, calls.size(), waiting);
        if (displaced != null) {
            waiting.remove(displaced);
            giveUp(displaced);
        }
        if (displaced != call) {
            place(nowMs, call);
        }
    }

    private void place(double nowMs, Call call) {
        if (AdmissionControl.isTooLate(nowMs, call)
                || call.attempts.isEmpty() && sparse() && admission.shouldThrottle(random.nextDouble())) {
            giveUp(call);
        } else if (!waiting.isEmpty() || !dispatch(nowMs, call)) {
            waiting.add(call);
            shedder.shed(nowMs, controlMs).forEach(this::giveUp);
        }
    }

    private boolean dispatch(double nowMs, Call call) {
        UpstreamState upstream = pick(nowMs, call);
        if (probesLoad
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

    /** Draws a member in proportion to the shares; departures only take members out, never most as faulty. */
    private UpstreamState pick(double nowMs, Call call) {
        int faulty = 0;
        for (UpstreamState upstream : members) {
            faulty += ejection.excludes(nowMs, upstream, call.stats) ? 1 : 0;
        }
        boolean avoid = 2 * faulty <= members.size();
        UpstreamState drawn = null; // each replaces the one before with its part of the sum so far
        double sum = 0;
        for (UpstreamState upstream : members) {
            boolean tried = call.attempts.size() < members.size() && call.hasTried(upstream);
            boolean excluded = tried || avoid && ejection.excludes(nowMs, upstream, call.stats);
            if (!excluded && fit(nowMs, call, upstream)) {
                double weight = upstream.share * slowStart.capacityFraction(nowMs, upstream.listed);
                sum += weight;
                drawn = random.nextDouble() * sum < weight ? upstream : drawn;
            }
        }
        return drawn;
    }

    private boolean fit(double nowMs, Call call, UpstreamState upstream) {
        double warmth = slowStart.capacityFraction(nowMs, upstream.listed);
        return retries.allowsRetryAt(nowMs, call, upstream)
                && upstream.limit.admits(nowMs, upstream.inFlight, warmth)
                && (warmth >= 1 || admitsCold(nowMs, call, upstream, warmth))
                && !call.wouldMissAim(nowMs, upstream);
    }

    private boolean admitsCold(double nowMs, Call call, UpstreamState upstream, double warmth) {
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

    private void shareTick(double nowMs) {
        nextShareTickMs = nowMs + SHARE_TICK_MS;
        LoadShares.update(nowMs, members);
        // Slow with single attempts: after a while that is taken for the servers' latency, not for a queue.
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
            attempt.upstream.updateLoad(nowMs, 1 + settings.requestsIn(end.report()));
        }
        if (!call.streaming) {
            learn(nowMs, attempt, end.outcome(), end.elapsedMs());
        }
        if (end.requestDone() || call.done) {
            finish(call);
        } else if (call.inFlight == 0
                && retries.allowsRetry(nowMs, call, settings.limits().maxAttempts())) {
            place(nowMs, call);
        } else if (call.inFlight == 0) {
            giveUp(call);
        }
        serveWaiting(nowMs);
    }

    private void learn(double nowMs, Attempt attempt, Outcome how, double latencyMs) {
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
            // A failure counts at its time-out: else an upstream that fails at once would draw load.
            latencyMs = Math.max(latencyMs, attempt.timeoutMs);
            if (how == Outcome.TIMEOUT) {
                stats.updateMedian(latencyMs); // else a jammed fleet, all time-outs, looks quiet
            }
            // That a client has little patience says nothing against an upstream.
            boolean impatient = how == Outcome.TIMEOUT && latencyMs < BARELY * stats.medianMs;
            if (!impatient) {
                ejection.recordFailure(nowMs, upstream, stats);
            }
        }
        admission.attemptEnded(how == Outcome.OK && latencyMs <= stats.spec.aimMs());
        upstream.latencyRatioSum += latencyMs / stats.medianMs;
        upstream.samples++;
        if (how != Outcome.RESET) {
            // A broken connection says nothing of a queue: the share and the streak of failures answer to it.
            guess(nowMs, upstream, latencyMs / stats.baselineMs());
            double minimum = Math.min(1, list.initialConcurrency() / 2);
            upstream.limit.adjust(
                    nowMs, upstream.inFlight, upstream.headroom(stats, latencyMs), minimum, stats.medianMs);
        }
    }

    private void giveUp(Call call) {
        if (retries.isSafeToRepeat(call)) {
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
        call.streaming = true; // it belongs to the client now: its length says nothing of the upstream
        started.upstream.attempts.remove(started);
        learn(nowMs, started, Outcome.OK, elapsedMs);
        cancelOthers(call, started);
    }

    @Override
    public void clientLeft(double nowMs, int request) {
        Call call = calls.get(request);
        if (call != null && !call.done) {
            waiting.remove(call);
            awaitingProbe.remove(call);
            finish(call);
        }
    }

    private boolean sparse() {
        return !probesLoad && list.initialConcurrency() < 1;
    }

    @Override
    public void probeEnded(double nowMs, int upstream, Outcome outcome, double elapsedMs, double[] report) {
        UpstreamState probed = list.find(upstream);
        if (probed != null && outcome == Outcome.OK) {
            ejection.recordAnswer(nowMs, probed, members.size());
            probed.updateLoad(nowMs, 1 + settings.requestsIn(report));
        } else if (probed != null) {
            probed.updateLoad(nowMs, Double.MAX_VALUE); // until it has answered another probe
            ejection.eject(nowMs, probed, "a probe found it out of reach");
        }
        resume(nowMs, call -> call.probedUpstream == probed);
    }

    /** Without a report: many sidecars with few attempts see no queue but by what the latest attempt took. */
    private void guess(double nowMs, UpstreamState upstream, double load) {
        if (upstream.loadUpdatedMs < nowMs && sparse()) {
            upstream.updateLoad(nowMs, load);
        }
    }

    private void resume(double nowMs, Predicate<Call> due) {
        List<Call> ready = awaitingProbe.stream().filter(due).toList();
        awaitingProbe.removeAll(ready);
        for (Call call : ready) {
            UpstreamState upstream = call.probedUpstream;
            boolean heard = upstream.isReady() && nowMs - upstream.loadUpdatedMs <= settings.tickMs();
            if (heard && !ejection.excludes(nowMs, upstream, call.stats) && fit(nowMs, call, upstream)) {
                send(nowMs, call, upstream);
            } else {
                place(nowMs, call);
            }
        }
    }

    private void serveWaiting(double nowMs) {
        while (!waiting.isEmpty() && dispatch(nowMs, waiting.first())) {
            waiting.pollFirst();
        }
    }

    @Override
    public void clientRoom(int requests) {
        admission.maxConnections = requests;
    }

    private void watchSilence(double nowMs) {
        for (UpstreamState upstream : members) {
            if (probesLoad && upstream.probation.ejected && !upstream.probation.excludes(nowMs)) {
                upstream.probation.trialSent(nowMs);
                actions.probe(upstream.id);
            }
            Attempt oldest = upstream.attempts.peekFirst();
            if (oldest == null) {
                continue;
            }
            double ageMs = nowMs - oldest.sentMs;
            guess(nowMs, upstream, Math.max(upstream.load, ageMs / oldest.call.stats.baselineMs()));
            ejection.checkUnresponsive(nowMs, upstream, oldest);
            if (upstream.probation.ejected && settings.limits().secondCopies() && waiting.isEmpty()) {
                for (Attempt attempt : upstream.attempts) {
                    copy(nowMs, attempt);
                }
            }
        }
    }

    /** A second copy of what is stuck at an ejected upstream: where class, budget and spare room allow it. */
    private void copy(double nowMs, Attempt stuck) {
        Call call = stuck.call;
        boolean due = !call.done && call.inFlight == 1 && nowMs - stuck.sentMs > call.stats.medianMs;
        boolean allowed =
                due && retries.allowsRetry(nowMs, call, settings.limits().maxAttempts());
        UpstreamState other = allowed ? pick(nowMs, call) : null;
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
            watchSilence(nowMs);
            resume(nowMs, call -> nowMs - call.probedMs > controlMs);
            serveWaiting(nowMs);
            shedder.shed(nowMs, controlMs).forEach(this::giveUp);
            if (nowMs >= nextShareTickMs) {
                shareTick(nowMs);
            }
            armControl();
        }
    }

    @Override
    public void upstreams(double nowMs, ListKind kind, List<Upstream> entries) {
        if (kind != ListKind.FAILED) {
            listFailures = 0;
            list.apply(nowMs, kind, entries);
            serveWaiting(nowMs);
        } else if (!subscribeArmed) {
            subscribeArmed = true; // ever later, at random times: many sidecars ask one service
            double maxMs = Math.min(DiscoveryTimeouts.MAX_DELAY_MS, SHARE_TICK_MS / 4 * (1 << listFailures));
            listFailures = Math.min(5, listFailures + 1);
            actions.timer(maxMs * (1 + random.nextDouble()) / 2, SUBSCRIBE_TIMER);
        }
    }
}
