package gradehub;

import gradehub.Balancer.AttemptEnd;
import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Request;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Status;
import gradehub.Balancer.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Test double of a sidecar: passes events to a balancer, fires its timers and the timeouts of its attempts, and checks
 * every action against the rules of {@link Balancer}. The test sets the outcome of each attempt.
 */
final class FakeSidecar implements Balancer.Actions {

    /** Creates the balancer under test. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    static final class SentAttempt {
        final int request;
        final int number;
        final int upstream;
        final double atMs;
        final double timeoutMs;
        Outcome outcome;

        SentAttempt(int request, int number, int upstream, double atMs, double timeoutMs) {
            this.request = request;
            this.number = number;
            this.upstream = upstream;
            this.atMs = atMs;
            this.timeoutMs = timeoutMs;
        }
    }

    private static final class RequestState {
        final RequestClass requestClass;
        final double deadlineMs;
        final List<SentAttempt> attempts = new ArrayList<>();
        boolean ended;

        RequestState(RequestClass requestClass, double deadlineMs) {
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
        }

        boolean hasPendingAttempt() {
            return attempts.stream().anyMatch(sent -> sent.outcome == null);
        }

        boolean mayHaveRun() {
            return attempts.stream().anyMatch(FakeSidecar::mayHaveRun);
        }
    }

    private record Timer(double atMs, int token) {}

    final Settings settings;
    final Balancer balancer;
    final List<String> violations = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final List<String> logs = new ArrayList<>();
    final List<SentAttempt> sent = new ArrayList<>();
    final List<Integer> probed = new ArrayList<>();
    double now = 1000;
    int subscriptions;
    int refused;
    int failed;
    int served;
    private int nextRequest = 1;
    private final Map<Integer, RequestState> requests = new TreeMap<>();
    private final Map<Integer, Upstream> listed = new HashMap<>();
    private final Map<Integer, Double> unavailableSinceMs = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));

    FakeSidecar(Settings settings, long seed) {
        this(settings, seed, LoadShiftingBalancer::new);
    }

    FakeSidecar(Settings settings, long seed, Factory factory) {
        this.settings = settings;
        this.balancer = factory.create(settings, seed, this);
        balancer.start(now);
    }

    // Events passed to the balancer.

    void updateList(ListKind kind, Upstream... entries) {
        if (kind == ListKind.FULL || kind == ListKind.CACHED) {
            listed.keySet().forEach(id -> unavailableSinceMs.putIfAbsent(id, now));
        }
        for (Upstream entry : entries) {
            listed.put(entry.id(), entry);
            if (entry.status() == Status.READY) {
                unavailableSinceMs.remove(entry.id());
            } else {
                unavailableSinceMs.putIfAbsent(entry.id(), now);
            }
        }
        balancer.upstreams(now, kind, List.of(entries));
    }

    /** Passes a full list of {@code count} ready upstreams, with ids from 1. */
    void listReady(int count) {
        Upstream[] entries = new Upstream[count];
        for (int i = 0; i < count; i++) {
            entries[i] = upstream(i + 1, Status.READY, 0);
        }
        updateList(ListKind.FULL, entries);
    }

    static Upstream upstream(int id, Status status, double startedMs) {
        return new Upstream(id, status, startedMs, id % 2, 0, id % 3, 1);
    }

    int request(int requestClass) {
        return request(requestClass, 0, settings.classes().get(requestClass).deadlineMs(), false);
    }

    int request(int requestClass, int tenant, double timeoutMs, boolean repeat) {
        return request(requestClass, tenant, timeoutMs, repeat, 0);
    }

    int request(int requestClass, int tenant, double timeoutMs, boolean repeat, double costMs) {
        int id = nextRequest++;
        requests.put(id, new RequestState(settings.classes().get(requestClass), now + timeoutMs));
        balancer.request(now, new Request(id, requestClass, tenant, timeoutMs, repeat, costMs));
        return id;
    }

    void end(SentAttempt attempt, Outcome outcome) {
        RequestState state = requests.get(attempt.request);
        attempt.outcome = outcome;
        boolean done = state.ended;
        if (outcome == Outcome.OK && !state.ended) {
            state.ended = true;
            served++;
            done = true;
        }
        balancer.attemptEnded(
                now,
                new AttemptEnd(
                        attempt.request,
                        attempt.number,
                        attempt.upstream,
                        outcome,
                        now - attempt.atMs,
                        done,
                        new double[0]));
    }

    void disconnectClient(int request) {
        requests.get(request).ended = true;
        balancer.clientDisconnected(now, request);
    }

    /** Advances the clock and fires the timers and timeouts that fall due. */
    void advance(double ms) {
        double endMs = now + ms;
        while (true) {
            SentAttempt nextToExpire = null;
            for (SentAttempt attempt : pendingAttempts()) {
                if (nextToExpire == null
                        || attempt.atMs + attempt.timeoutMs < nextToExpire.atMs + nextToExpire.timeoutMs) {
                    nextToExpire = attempt;
                }
            }
            double expiryMs = nextToExpire == null ? Double.MAX_VALUE : nextToExpire.atMs + nextToExpire.timeoutMs;
            double timerMs = timers.isEmpty() ? Double.MAX_VALUE : timers.peek().atMs;
            if (Math.min(expiryMs, timerMs) > endMs) {
                break;
            }
            now = Math.max(now, Math.min(expiryMs, timerMs));
            if (expiryMs <= timerMs) {
                end(nextToExpire, Outcome.TIMEOUT);
            } else {
                balancer.timer(now, timers.poll().token);
            }
            checkDeadlines();
        }
        now = endMs;
        checkDeadlines();
    }

    // State that tests read.

    List<SentAttempt> pendingAttempts() {
        return sent.stream().filter(attempt -> attempt.outcome == null).toList();
    }

    SentAttempt lastAttempt() {
        return sent.get(sent.size() - 1);
    }

    List<SentAttempt> attemptsOf(int request) {
        return requests.get(request).attempts;
    }

    int classOf(int request) {
        return settings.classes().indexOf(requests.get(request).requestClass);
    }

    boolean ended(int request) {
        return requests.get(request).ended;
    }

    long openRequests() {
        return requests.values().stream().filter(state -> !state.ended).count();
    }

    // Actions of the balancer, checked against the rules.

    @Override
    public void send(int request, int upstream, double timeoutMs) {
        actions.add("send " + request + " to " + upstream + " for " + timeoutMs);
        RequestState state = openRequest(request, "send");
        if (state == null) {
            return;
        }
        RequestClass requestClass = state.requestClass;
        if (!listed.containsKey(upstream)) {
            violations.add("sent to upstream " + upstream + ", which was never listed");
        }
        if (unavailableSinceMs.containsKey(upstream)) {
            violations.add("drain: sent to upstream " + upstream + ", which is draining or was removed from the list");
        }
        if (state.attempts.size() >= settings.limits().maxAttempts()) {
            violations.add("attempts: more than the limit");
        }
        if (state.hasPendingAttempt() && !settings.limits().secondCopies()) {
            violations.add("copies: two concurrent attempts of one request");
        }
        for (SentAttempt earlier : state.attempts) {
            if (!mayHaveRun(earlier)) {
                continue;
            }
            if (requestClass.effect() == Effect.UNSAFE) {
                violations.add("repeat: unsafe request sent again after an attempt that may have run");
            }
            if (requestClass.effect() == Effect.KEYED
                    && (now - earlier.atMs >= requestClass.windowMs()
                            || !sameGroup(requestClass.group(), listed.get(earlier.upstream), listed.get(upstream)))) {
                violations.add("repeat: keyed request sent again outside its group or window");
            }
        }
        SentAttempt attempt = new SentAttempt(request, state.attempts.size(), upstream, now, timeoutMs);
        if (timeoutMs <= 0 || now + timeoutMs > state.deadlineMs) {
            violations.add("lost: attempt timeout is not positive or ends after the deadline");
        }
        state.attempts.add(attempt);
        sent.add(attempt);
    }

    @Override
    public void refuse(int request, double retryAfterMs) {
        actions.add("refuse " + request);
        RequestState state = openRequest(request, "refuse");
        if (state == null) {
            return;
        }
        boolean mayRefuse = state.requestClass.effect() == Effect.SAFE
                || !state.mayHaveRun()
                || state.requestClass.effect() == Effect.KEYED && state.requestClass.group() == Group.ALL;
        if (!mayRefuse) {
            violations.add("repeat: refused a request that may have run");
        }
        state.ended = true;
        refused++;
    }

    @Override
    public void fail(int request) {
        actions.add("fail " + request);
        RequestState state = openRequest(request, "fail");
        if (state != null) {
            state.ended = true;
            failed++;
        }
    }

    @Override
    public void cancel(int request, int attempt) {
        actions.add("cancel " + request + "/" + attempt);
        if (!settings.limits().cancel()) {
            violations.add("cancel: not allowed by the limits");
        }
    }

    @Override
    public void timer(double delayMs, int token) {
        actions.add("timer " + delayMs + " " + token);
        timers.add(new Timer(now + delayMs, token));
    }

    @Override
    public void subscribe(boolean on) {
        actions.add("subscribe " + on);
        subscriptions++;
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
        logs.add(line);
    }

    @Override
    public void probe(int upstream) {
        if (!settings.limits().probes()) {
            violations.add("probe: not allowed by the limits");
        }
        probed.add(upstream);
    }

    @Override
    public void fetchList() {
        actions.add("fetch");
    }

    @Override
    public void closeIdle(int upstream) {
        actions.add("close " + upstream);
    }

    private RequestState openRequest(int request, String action) {
        RequestState state = requests.get(request);
        if (state == null || state.ended) {
            violations.add("lost: " + action + " for request " + request + ", which has ended or is unknown");
            return null;
        }
        return state;
    }

    private void checkDeadlines() {
        requests.forEach((id, state) -> {
            if (!state.ended && now > state.deadlineMs) {
                violations.add("lost: request " + id + " not answered before its deadline");
                state.ended = true;
            }
        });
    }

    private static boolean mayHaveRun(SentAttempt attempt) {
        return attempt.outcome == null || !attempt.outcome.provesNotRun();
    }

    private static boolean sameGroup(Group group, Upstream a, Upstream b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }
}
