package gradehub.node;

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

/** Puts the sidecar together on one event loop, and takes it down without losing what it has taken. */
public final class Sidecar {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final int FAILED = 1;
    private static final int BAD_CONFIGURATION = 2;
    /** For the last lines of the log to come out, where its reader reads. */
    private static final long LAST_LINES_MS = 200;
    /** After SIGTERM new connections go on coming for a while; until then all of them are served as ever. */
    private static final long GOES_ON_MS = 500;
    /** Between closing what is idle and closing the listener: what is still under way by then is read. */
    private static final long LAST_CALL_MS = 100;
    /** With nothing in hand: for a request that is half read, for its answer to be read, and for the looks at both. */
    private static final long LAST_BYTES_MS =
            (long) (ClientConnection.LAST_REQUEST_MS + ClientConnection.DRAIN_MS) + 200;

    private static final long LOOK_MS = 10;
    /** How often, a look apart, those that wait are accepted before the listener closes, where that fails. */
    private static final int LAST_ACCEPTS = 50;
    /** Of the 10 s in which a restarted process has to be ready: until then the start waits for discovery. */
    private static final long LIST_MS = 9_000;

    private final EventLoop loop;
    private final Engine engine;
    private final Discovery discovery;
    private final ClientServer clients;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final RateLimitedLog reloadLog = new RateLimitedLog();
    /** Made once: tasks that are made on a rare path would be linked while requests wait. */
    private final Runnable stopListening = this::stopListening;

    private final Runnable endWhenAnswered = this::endWhenAnswered;
    private SocketAddress address;
    /** How often those that wait have been accepted since SIGTERM. */
    private int lastAccepts;
    /** How long the end still waits for connections that carry nothing. */
    private long patienceMs;

    private Sidecar(EventLoop loop, Config config, Supplier<LookingChannel> opened) {
        this.loop = loop;
        SocketBudget sockets = new SocketBudget(config.sockets());
        Clock clock = new Clock();
        engine = new Engine(
                loop,
                clock,
                config,
                sockets,
                opened,
                actions -> new LoadShiftingBalancer(config.settings(), config.seed(), actions));
        discovery = new Discovery(loop, config, opened, engine);
        clients = new ClientServer(loop, clock, config.settings(), engine, sockets, discovery::hasList);
        engine.start(discovery);
        discovery.start(config);
    }

    /** Serves until SIGTERM, and then until all that was taken is answered. */
    public static void main(Map<String, String> environment) throws InterruptedException {
        StandardErrorLog log = StandardErrorLog.install();
        try {
            ReloadSignal signal = new ReloadSignal();
            StartRetry retry = new StartRetry();
            Config config = retry.runUntilSuccess("reading the configuration", () -> Config.loadForStart(environment));
            Sidecar sidecar = retry.runUntilSuccess("opening the event loop", () -> createForStart(config));
            signal.onSignal(() -> sidecar.reload(environment));
            Warmup.run(); // while discovery answers
            System.gc(); // else the first collection in service copies all that the start has left
            sidecar.discovery.awaitAnswer(longestListMs());
            onSigterm(new Thread(() -> sidecar.stopAndExit(log), "stop"));
            retry.runUntilSuccess("listening", () -> sidecar.listen(config));
            LOG.log(System.Logger.Level.INFO, "listening on " + sidecar.address());
        } catch (Config.InvalidConfigException e) {
            System.err.println("gradehub: " + e.getMessage());
            exit(log, BAD_CONFIGURATION);
        } catch (IOException e) {
            System.err.println("gradehub: " + e.getMessage());
            exit(log, FAILED);
        } catch (RuntimeException | ReflectiveOperationException e) {
            LOG.log(System.Logger.Level.ERROR, "can't start", e); // the event loop alone would keep the process up
            exit(log, FAILED);
        }
    }

    /** Without the hook of SIGTERM, which would end the program as if all were well. */
    private static void exit(StandardErrorLog log, int status) throws InterruptedException {
        log.flush(LAST_LINES_MS);
        Runtime.getRuntime().halt(status);
    }

    /** What is left of the time in which a start waits for discovery. */
    private static long longestListMs() {
        return Math.max(0, LIST_MS - ManagementFactory.getRuntimeMXBean().getUptime());
    }

    private static Sidecar createForStart(Config config) throws IOException {
        try {
            return create(config);
        } catch (ChannelException | IllegalStateException e) {
            throw new IOException(e.getMessage(), e); // for want of descriptors
        }
    }

    static Sidecar start(Config config) throws InterruptedException, IOException {
        Sidecar sidecar = create(config);
        sidecar.listen(config);
        return sidecar;
    }

    /** One that does all but listen. */
    static Sidecar create(Config config) {
        return create(config, LookingChannel::new);
    }

    /** The same, with another source of sockets to connect with. */
    static Sidecar create(Config config, Supplier<LookingChannel> opened) {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(new ObservedSelectorProvider()));
        EventLoop loop = group.next();
        return loop.submit(() -> new Sidecar(loop, config, opened))
                .syncUninterruptibly()
                .getNow();
    }

    /** From the first request on SIGTERM lets what was taken be answered: the hook is there before it comes. */
    private static void onSigterm(Thread stop) {
        Runtime.getRuntime().addShutdownHook(stop);
    }

    SocketAddress listen(Config config) throws InterruptedException, IOException {
        ChannelFuture bound = clients.bind(config.listen()).await();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + config.listen() + ": " + bound.cause(), bound.cause());
        }
        address = bound.channel().localAddress();
        return address;
    }

    EventLoop loop() {
        return loop;
    }

    Engine engine() {
        return engine;
    }

    /** How many connections clients hold. */
    int clients() {
        return clients.open();
    }

    /** How late the event loop runs, by what its clients wait. */
    double lagMs() {
        return clients.lagMs();
    }

    SocketAddress address() {
        return address;
    }

    /**
     * Reads the configuration again. Only where discovery is can change while it runs; a bad file changes nothing.
     * Returns false where the file could not be read as a whole, as when it is being replaced, and may be later.
     */
    boolean reload(Map<String, String> environment) {
        try {
            Config read = Config.load(environment);
            loop.execute(() -> discovery.moveTo(read.discovery()));
            return true;
        } catch (Config.InvalidConfigException e) {
            reloadLog.warn("the new configuration is of no use, the old one stands: " + e.getMessage());
            return e.fault() == Config.Fault.INVALID;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "reloading failed, the old configuration stands", e);
            return true;
        }
    }

    /** The virtual machine ends when its hooks do, with the signal's status; this one ends it itself, when done. */
    private void stopAndExit(StandardErrorLog log) {
        try {
            LOG.log(System.Logger.Level.INFO, "stopping");
            stop();
            LOG.log(System.Logger.Level.INFO, "stopped");
            log.flush(LAST_LINES_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    void stop() throws InterruptedException {
        loop.schedule(
                () -> {
                    GuardedTask.run("ending connections", this::endConnections);
                    loop.schedule(stopListening, LAST_CALL_MS, TimeUnit.MILLISECONDS);
                },
                GOES_ON_MS,
                TimeUnit.MILLISECONDS);
        stopped.await();
    }

    long watchPauseMs() {
        return discovery.pauseMs();
    }

    /** Leaves the watch and opens another. */
    void reopenWatch() {
        discovery.subscribe(true);
    }

    void endConnections() {
        clients.endConnections();
    }

    /** A failed accept is repeated, since those that wait would be reset by the listener's close. */
    void stopListening() {
        lastAccepts++;
        if (!clients.acceptWaiting() && lastAccepts < LAST_ACCEPTS) {
            loop.schedule(stopListening, LOOK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        GuardedTask.run("closing the listener", clients::stopListening);
        patienceMs = LAST_BYTES_MS;
        endWhenAnswered();
    }

    /** Ends what is overdue, as the sidecar does now and then by itself. */
    void closeOverdueClients() {
        clients.look();
    }

    /**
     * Each connection ends with its last answer, and one that carries nothing by itself. Only a client that does not
     * read what it is sent is not waited for.
     */
    private void endWhenAnswered() {
        if (engine.inHand() == 0 && (clients.open() == 0 || patienceMs <= 0)) {
            halt();
            return;
        }
        patienceMs = engine.inHand() > 0 ? LAST_BYTES_MS : patienceMs - LOOK_MS;
        loop.schedule(endWhenAnswered, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends the event loop, and with it every connection. */
    void halt() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> stopped.countDown());
    }
}
