package gradehub.node;

import gradehub.Balancer.Settings;
import gradehub.LoadShiftingBalancer;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Creates the parts of the sidecar on one event loop, and shuts them down without losing accepted requests. */
public final class Sidecar {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID_CONFIG = 2;
    /** Time for writing the last log lines, if the reader of the log is reading. */
    private static final long LOG_FLUSH_MS = 200;
    /** New connections keep arriving for a while after SIGTERM; for this long they are served as before. */
    private static final long STOP_DELAY_MS = 500;
    /** Delay between closing idle connections and closing the listener: requests in transit by then are read. */
    private static final long LISTENER_CLOSE_DELAY_MS = 100;
    /** Wait with no request in flight: for a partly read request, for its answer to be read, and for checking both. */
    private static final long CONNECTION_DRAIN_MS =
            (long) (ClientConnection.SHUTDOWN_REQUEST_TIMEOUT_MS + ClientConnection.DRAIN_TIMEOUT_MS) + 200;

    private static final long POLL_MS = 10;
    /** Limit on attempts, {@link #POLL_MS} apart, to accept pending connections before the listener closes. */
    private static final int MAX_FINAL_ACCEPTS = 50;
    /** Time since process start until which it waits for discovery; a restarted process has to be ready within 10 s. */
    private static final long DISCOVERY_WAIT_MS = 9_000;

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Settings settings;
    private final MemoryBudget memory;
    private final Engine engine;
    private final Discovery discovery;
    private final ClientServer clients;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final RateLimitedLog reloadLog = new RateLimitedLog();
    /** Created once: a lambda created on a rare code path would be linked while requests wait. */
    private final Runnable stopListening = this::stopListening;

    private final Runnable shutDownWhenDrained = this::shutDownWhenDrained;
    private SocketAddress address;
    /** Number of attempts since SIGTERM to accept the pending connections. */
    private int finalAccepts;
    /** How much longer the shutdown waits for connections without requests. */
    private long drainLeftMs;

    private Sidecar(EventLoop loop, Config config, Supplier<ReadAheadChannel> channelFactory) {
        this.loop = loop;
        settings = config.settings();
        int maxSockets = ProcessMemory.maxSockets(config.memoryMb(), config.sockets());
        SocketBudget sockets = new SocketBudget(maxSockets);
        memory = new MemoryBudget(ProcessMemory.messageBytes(config.memoryMb(), maxSockets));
        engine = new Engine(
                loop,
                clock,
                config,
                sockets,
                memory,
                channelFactory,
                actions -> new LoadShiftingBalancer(settings, config.seed(), actions));
        discovery = new Discovery(loop, config, channelFactory, engine);
        clients = new ClientServer(loop, clock, settings, engine, sockets, memory, discovery::hasList);
        engine.start(discovery);
        discovery.start(config);
    }

    /** Serves until SIGTERM, then until all accepted requests are answered. */
    public static void main(Map<String, String> environment) throws InterruptedException {
        StandardErrorLog log = StandardErrorLog.install();
        try {
            ReloadSignal signal = new ReloadSignal();
            StartRetry retry = new StartRetry();
            Config config = retry.runUntilSuccess("reading the configuration", () -> Config.loadForStart(environment));
            Sidecar sidecar = retry.runUntilSuccess("opening the event loop", () -> createForStart(config));
            LOG.log(System.Logger.Level.INFO, ProcessMemory.describe(config.memoryMb(), config.sockets()));
            signal.onSignal(() -> sidecar.reload(environment));
            Warmup.run(); // discovery answers meanwhile
            System.gc(); // otherwise the first collection while serving copies all objects left over from startup
            sidecar.discovery.awaitList(discoveryWaitMs());
            onSigterm(new Thread(() -> sidecar.stopAndExit(log), "stop"));
            retry.runUntilSuccess("listening", () -> sidecar.listen(config));
            LOG.log(System.Logger.Level.INFO, "listening on " + sidecar.address());
        } catch (Config.InvalidConfigException e) {
            System.err.println("gradehub: " + e.getMessage());
            exit(log, EXIT_INVALID_CONFIG);
        } catch (IOException e) {
            System.err.println("gradehub: " + e.getMessage());
            exit(log, EXIT_FAILED);
        } catch (RuntimeException | ReflectiveOperationException e) {
            LOG.log(System.Logger.Level.ERROR, "startup failed", e);
            // Without an explicit exit the event loop alone would keep the process running.
            exit(log, EXIT_FAILED);
        }
    }

    /** Exits without running the SIGTERM hook, which would exit with status 0. */
    private static void exit(StandardErrorLog log, int status) throws InterruptedException {
        log.flush(LOG_FLUSH_MS);
        Runtime.getRuntime().halt(status);
    }

    /** Returns the rest of the time for which startup waits for discovery. */
    private static long discoveryWaitMs() {
        return Math.max(
                0, DISCOVERY_WAIT_MS - ManagementFactory.getRuntimeMXBean().getUptime());
    }

    private static Sidecar createForStart(Config config) throws IOException {
        try {
            return create(config);
        } catch (ChannelException | IllegalStateException e) {
            throw new IOException(e.getMessage(), e); // no file descriptor available
        }
    }

    static Sidecar start(Config config) throws InterruptedException, IOException {
        Sidecar sidecar = create(config);
        sidecar.listen(config);
        return sidecar;
    }

    /** Creates a sidecar that does not listen yet. */
    static Sidecar create(Config config) {
        return create(config, ReadAheadChannel::new);
    }

    /** Creates a sidecar with a custom factory for the channels of outgoing connections. */
    static Sidecar create(Config config, Supplier<ReadAheadChannel> channelFactory) {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(new ObservedSelectorProvider()));
        EventLoop loop = group.next();
        return loop.submit(() -> new Sidecar(loop, config, channelFactory))
                .syncUninterruptibly()
                .getNow();
    }

    /** Installed before the sidecar listens, so that SIGTERM never interrupts an accepted request. */
    private static void onSigterm(Thread stop) {
        Runtime.getRuntime().addShutdownHook(stop);
    }

    SocketAddress listen(Config config) throws InterruptedException, IOException {
        ChannelFuture bound = clients.bind(config.listen()).await();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + config.listen() + ": " + bound.cause(), bound.cause());
        }
        address = bound.channel().localAddress();
        return address;
    }

    EventLoop loop() {
        return loop;
    }

    MemoryBudget memory() {
        return memory;
    }

    Engine engine() {
        return engine;
    }

    /** Returns the number of open client connections. */
    int clients() {
        return clients.openConnections();
    }

    /** Returns the lag of the event loop: how long input from clients may have waited. */
    double lagMs() {
        return clients.lagMs();
    }

    SocketAddress address() {
        return address;
    }

    /**
     * Reads the configuration again. Only the address of discovery can change at run time; an invalid file changes
     * nothing. Returns false if the file could not be read completely, for example while it is being replaced, so that a
     * later attempt may succeed.
     */
    boolean reload(Map<String, String> environment) {
        try {
            Config reloaded = Config.load(environment);
            loop.execute(() -> discovery.changeAddress(reloaded.discovery()));
            return true;
        } catch (Config.InvalidConfigException e) {
            reloadLog.warn("ignoring the new configuration, keeping the old one: " + e.getMessage());
            return e.fault() == Config.Fault.INVALID;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "reloading the configuration failed, keeping the old one", e);
            return true;
        }
    }

    /** Exits with status 0; after the shutdown hooks the JVM would exit with the status of the signal. */
    private void stopAndExit(StandardErrorLog log) {
        try {
            stop();
            LOG.log(System.Logger.Level.INFO, engine.requestLog().totals());
            LOG.log(System.Logger.Level.INFO, "event=message-memory peak-bytes=" + memory.peakBytes());
            LOG.log(System.Logger.Level.INFO, "stopped");
            log.flush(LOG_FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    void stop() throws InterruptedException {
        double answerByMs = clock.nowMs() + KillDeadline.answerTimeMs(settings.classes());
        LOG.log(System.Logger.Level.INFO, "stopping");
        loop.execute(() -> clients.answerAllBy(answerByMs));
        loop.schedule(
                () -> {
                    GuardedTask.run("ending connections", this::endConnections);
                    loop.schedule(stopListening, LISTENER_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
                },
                STOP_DELAY_MS,
                TimeUnit.MILLISECONDS);
        stopped.await();
    }

    long watchPauseMs() {
        return discovery.reconnectDelayMs();
    }

    /** Whether discovery has been silent for too long on a watch that is still open. */
    boolean isWatchSilent() {
        return discovery.isWatchSilent();
    }

    /** Closes the watch and opens a new one. */
    void reopenWatch() {
        discovery.replaceWatch();
    }

    void endConnections() {
        clients.endConnections();
    }

    /** Retries a failed accept first: closing the listener resets the connections that are still pending. */
    void stopListening() {
        finalAccepts++;
        if (!clients.acceptPending() && finalAccepts < MAX_FINAL_ACCEPTS) {
            loop.schedule(stopListening, POLL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        GuardedTask.run("closing the listener", clients::stopListening);
        drainLeftMs = CONNECTION_DRAIN_MS;
        shutDownWhenDrained();
    }

    /** Runs the periodic check of the client connections. */
    void checkClients() {
        clients.checkConnections();
    }

    /**
     * Shuts down when no request is in flight and all client connections are closed. A connection closes after its
     * last answer, an idle one by itself. Clients that do not read their answers are not waited for.
     */
    private void shutDownWhenDrained() {
        if (engine.requestsInFlight() == 0 && (clients.openConnections() == 0 || drainLeftMs <= 0)) {
            halt();
            return;
        }
        drainLeftMs = engine.requestsInFlight() > 0 ? CONNECTION_DRAIN_MS : drainLeftMs - POLL_MS;
        loop.schedule(shutDownWhenDrained, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** Shuts down the event loop, which closes every connection. */
    void halt() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> stopped.countDown());
    }
}
