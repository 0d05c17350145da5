package gradehub.node;

import gradehub.Balancer.Outcome;
import gradehub.Balancer.Status;
import gradehub.node.MemberReader.Member;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Pools the connections to upstreams and sends attempts on them; each attempt ends exactly once, in {@link #end}. */
final class Upstreams {

    private static final System.Logger LOG = System.getLogger("gradehub");
    static final int MAX_BODY_BYTES = 64 * 1024;

    private static final double[] NO_REPORT = LoadReportParser.NONE;
    /** Fraction of the upstreams' idle timeout after which connections close here: a request written later could be lost. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    private static final int SWEEPS_PER_IDLE_TIMEOUT = 20;
    /**
     * Delay between an answer and the next request on the same connection. A duplicate answer that arrives late would
     * be matched to that request; one that arrives within this delay closes the connection instead.
     */
    private static final double REUSE_DELAY_MS = 50;

    interface Listener {
        /** Whether the attempt's request is unanswered, its client is known to be connected, and its class permits it now. */
        boolean canStillSend(Attempt attempt);

        /** Called once at the end of each attempt; {@code answer} is null unless the upstream gave the final answer. */
        void attemptEnded(Attempt attempt, Outcome outcome, double[] report, Answer answer);
    }

    /** One attempt, in flight until {@code outcome} is set. */
    static final class Attempt {
        final Engine.Exchange exchange;
        final int number;
        final int upstream;
        final double sentMs;
        final double timeoutMs;
        UpstreamConnection connection;
        private Future<?> timeoutTimer;
        /** Whether the first byte may have been written. */
        boolean writeStarted;
        /** Whether the last byte has been written; from then on the upstream may have run the request. */
        boolean written;

        private Outcome outcome;
        private double elapsedMs;

        Attempt(Engine.Exchange exchange, int number, int upstream, double sentMs, double timeoutMs) {
            this.exchange = exchange;
            this.number = number;
            this.upstream = upstream;
            this.sentMs = sentMs;
            this.timeoutMs = timeoutMs;
        }

        double elapsedMs() {
            return elapsedMs;
        }

        /** How the attempt ended, or null while it is in flight. */
        Outcome outcome() {
            return outcome;
        }

        boolean isInFlight() {
            return outcome == null;
        }

        /** Whether the upstream may have run the request, or may run it once the rest of it is written. */
        boolean mayRun() {
            return mayHaveRun() || writeStarted && isInFlight();
        }

        boolean mayHaveRun() {
            return written && (outcome == null || !outcome.provesNotRun());
        }
    }

    /** The connections to one upstream at its current address. */
    static final class Pool {
        private InetSocketAddress address;
        private double startedMs;
        /** Whether the upstream accepts no new requests. */
        private boolean draining;

        private final Set<UpstreamConnection> open = new HashSet<>();
        /** Connections without an attempt, the most recently used last. */
        private final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    }

    private final EventLoop loop;
    private final Clock clock;
    private final LoadReportParser reports;
    private final double connectTimeoutMs;
    private final double idleMs;
    private final SocketBudget sockets;
    private final MemoryBudget memory;
    private final Supplier<ReadAheadChannel> channelFactory;
    private final Listener listener;
    private final Map<Integer, Pool> pools = new HashMap<>();
    private final RateLimitedLog connectFailureLog = new RateLimitedLog();

    Upstreams(
            EventLoop loop,
            Clock clock,
            Config config,
            SocketBudget sockets,
            MemoryBudget memory,
            Supplier<ReadAheadChannel> channelFactory,
            Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.reports = new LoadReportParser(config.settings().reportFields());
        this.connectTimeoutMs = config.connectTimeoutMs();
        this.idleMs = IDLE_TIMEOUT_FRACTION * config.idleTimeoutMs();
        this.sockets = sockets;
        this.memory = memory;
        this.channelFactory = channelFactory;
        this.listener = listener;
        long sweepMs = Math.max(1, Math.round(idleMs / SWEEPS_PER_IDLE_TIMEOUT));
        loop.scheduleWithFixedDelay(
                () -> GuardedTask.run("closing idle connections", this::closeExpiredIdle),
                sweepMs,
                sweepMs,
                TimeUnit.MILLISECONDS);
    }

    // ---- Changes to the list of upstreams.

    void update(int id, Member member) {
        if (member.status() == Status.GONE) {
            remove(id);
            return;
        }
        Pool pool = pools.computeIfAbsent(id, unused -> new Pool());
        boolean replaced = !member.address().equals(pool.address) || member.startedMs() != pool.startedMs;
        if (pool.address != null && replaced || pool.draining != (member.status() != Status.READY)) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "upstream " + id + " is " + member.id() + " at " + member.address() + ", " + member.status());
        }
        pool.address = member.address();
        pool.startedMs = member.startedMs();
        pool.draining = member.status() != Status.READY;
        if (replaced || pool.draining) {
            retire(pool);
        }
    }

    void remove(int id) {
        Pool pool = pools.remove(id);
        if (pool != null) {
            LOG.log(System.Logger.Level.INFO, "upstream " + id + " was removed from the list");
            pool.draining = true;
            retire(pool);
        }
    }

    /**
     * Closes idle connections, lets written requests finish, and ends attempts that still wait for a connection: they
     * would be sent after the sidecar learned that the upstream accepts no new requests.
     */
    private void retire(Pool pool) {
        for (UpstreamConnection connection : List.copyOf(pool.open)) {
            connection.retire();
        }
    }

    void closeIdle(int id) {
        Pool pool = pools.get(id);
        if (pool != null) {
            for (UpstreamConnection connection : List.copyOf(pool.idle)) {
                connection.close();
            }
        }
    }

    private void closeExpiredIdle() {
        double sinceMs = clock.nowMs() - idleMs;
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekFirst().idleSinceMs() <= sinceMs) {
                pool.idle.peekFirst().close();
            }
        }
    }

    private boolean closeOneIdle() {
        for (Pool pool : pools.values()) {
            if (!pool.idle.isEmpty()) {
                pool.idle.peekFirst().close();
                return true;
            }
        }
        return false;
    }

    // ---- Attempts.

    void send(Attempt attempt) {
        Pool pool = pools.get(attempt.upstream);
        if (pool != null && !confirmSend(attempt, pool)) {
            return;
        }
        UpstreamConnection reused = pool == null ? null : takeIdle(pool);
        if (pool == null || reused == null && !sockets.canOpenUpstream() && !closeOneIdle()) {
            end(attempt, Outcome.CONNECT_FAILED, NO_REPORT, null);
            return;
        }
        attempt.timeoutTimer = loop.schedule(
                () -> abort(attempt, Outcome.TIMEOUT), Math.round(attempt.timeoutMs * 1000), TimeUnit.MICROSECONDS);
        if (reused == null) {
            connect(pool, attempt);
        } else {
            reused.assign(attempt);
            reused.write();
        }
    }

    /**
     * Checks an attempt before a connection is opened for it, and again before its first byte is written: its request
     * still needs it, its timeout has not passed and the upstream accepts requests. Otherwise ends the attempt, and the
     * module decides what follows.
     */
    boolean confirmSend(Attempt attempt, Pool pool) {
        if (!listener.canStillSend(attempt)) {
            end(attempt, Outcome.NOT_SENT, NO_REPORT, null);
        } else if (clock.nowMs() - attempt.sentMs >= attempt.timeoutMs) {
            abort(attempt, Outcome.TIMEOUT);
        } else if (pool.draining) {
            end(attempt, Outcome.CONNECT_FAILED, NO_REPORT, null);
        }
        return attempt.outcome == null;
    }

    /** Takes a reusable connection; closes those with unread input, which would be taken for the next answer. */
    private UpstreamConnection takeIdle(Pool pool) {
        double sinceMs = clock.nowMs() - REUSE_DELAY_MS;
        for (Iterator<UpstreamConnection> latest = pool.idle.descendingIterator(); latest.hasNext(); ) {
            UpstreamConnection idle = latest.next();
            if (idle.idleSinceMs() <= sinceMs) {
                latest.remove();
                if (idle.isQuiet()) {
                    return idle;
                }
                idle.close();
            }
        }
        return null;
    }

    /** Whether every idle connection can be reused now. */
    boolean canReuseIdleConnections() {
        double sinceMs = clock.nowMs() - REUSE_DELAY_MS;
        for (Pool pool : pools.values()) {
            if (!pool.idle.isEmpty() && pool.idle.peekLast().idleSinceMs() > sinceMs) {
                return false;
            }
        }
        return true;
    }

    /** Ends an attempt that is in flight. A timeout before its last byte was written proves that it did not run. */
    void abort(Attempt attempt, Outcome outcome) {
        boolean unsent = outcome == Outcome.TIMEOUT && !attempt.written;
        end(attempt, unsent ? Outcome.CONNECT_FAILED : outcome, NO_REPORT, null);
    }

    void end(Attempt attempt, Outcome outcome, double[] report, Answer answer) {
        if (attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        attempt.elapsedMs = clock.nowMs() - attempt.sentMs;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        if (attempt.connection != null) {
            attempt.connection.release();
        }
        listener.attemptEnded(attempt, outcome, report, answer);
    }

    private void connect(Pool pool, Attempt attempt) {
        ReadAheadChannel socket;
        try {
            socket = channelFactory.get();
        } catch (ChannelException e) {
            connectFailureLog.warn("cannot open a socket for an upstream: " + e.getMessage());
            end(attempt, Outcome.CONNECT_FAILED, NO_REPORT, null);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, pool, socket);
        connection.assign(attempt);
        pool.open.add(connection);
        sockets.upstreamOpened();
        connection.open(loop, pool.address, (int) Math.max(1, Math.min(connectTimeoutMs, attempt.timeoutMs)));
    }

    // ---- Used by the connections.

    double nowMs() {
        return clock.nowMs();
    }

    MemoryBudget memory() {
        return memory;
    }

    LoadReportParser reports() {
        return reports;
    }

    /** Adds a connection without an attempt to the idle ones. */
    void addIdle(UpstreamConnection connection) {
        connection.pool.idle.addLast(connection);
    }

    void closing(UpstreamConnection connection) {
        connection.pool.idle.remove(connection);
    }

    void closed(UpstreamConnection connection) {
        connection.pool.open.remove(connection);
        connection.pool.idle.remove(connection);
        sockets.upstreamClosed();
    }
}
