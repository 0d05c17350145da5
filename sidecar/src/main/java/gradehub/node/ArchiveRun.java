package gradehub.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * The training run that produces the class archive (AppCDS). At its exit the JVM archives the classes that it has
 * loaded and the lambdas that it has linked. A sidecar loads or generates any other class on its event loop, which
 * delays requests; therefore this run exercises all paths of a sidecar, including the rare ones.
 */
public final class ArchiveRun {

    private static final int NO_UPSTREAM = -1;
    /** Netty's channel classes: which of their nested classes a connection needs depends on the timing of events. */
    private static final Pattern NETTY_CHANNEL_CLASS =
            Pattern.compile("io\\.netty\\.channel\\.((nio|socket|socket\\.nio)\\.)?[^.]+");
    /** Exceptions that the JDK throws for failed system calls: which calls fail depends on the machine. */
    private static final List<String> SYSTEM_CALL_EXCEPTIONS = List.of(
            "java.net.BindException",
            "java.net.ConnectException",
            "java.net.NoRouteToHostException",
            "java.net.PortUnreachableException",
            "java.net.ProtocolException",
            "java.net.SocketException",
            "java.nio.channels.AlreadyConnectedException",
            "java.nio.channels.AsynchronousCloseException",
            "java.nio.channels.CancelledKeyException",
            "java.nio.channels.ClosedByInterruptException",
            "java.nio.channels.ClosedChannelException",
            "java.nio.channels.ConnectionPendingException",
            "java.nio.channels.NoConnectionPendingException",
            "java.nio.channels.NotYetConnectedException",
            "java.nio.file.AccessDeniedException",
            "java.nio.file.FileSystemException",
            "java.nio.file.NoSuchFileException");
    /** The run takes half a minute; the margin is for a busy build machine. */
    private static final long TIMEOUT_MINUTES = 5;

    private ArchiveRun() {}

    /** Runs the training. The process ends by SIGTERM as a sidecar does, or with status 1 on failure or timeout. */
    public static void main() {
        Thread watchdog = new Thread(ArchiveRun::failAfterTimeout, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            train();
        } catch (Exception e) {
            fail("failed: " + e);
        }
    }

    private static void failAfterTimeout() {
        try {
            TimeUnit.MINUTES.sleep(TIMEOUT_MINUTES);
            fail("timed out after " + TIMEOUT_MINUTES + " minutes");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Halts the JVM, because running sidecars would keep the process alive. */
    private static void fail(String reason) {
        System.err.println("gradehub: the training run " + reason);
        Runtime.getRuntime().halt(1);
    }

    private static void train()
            throws IOException, InterruptedException, ExecutionException, ClassNotFoundException,
                    Config.InvalidConfigException {
        loadClasses();
        Path folder = Files.createTempDirectory("training");
        long pid = ProcessHandle.current().pid();
        TrainingSession pushSession = new TrainingSession(TrainingSession.Membership.PUSH, folder);
        Sidecar.main(pushSession.environment());
        pushSession.awaitReady();
        pushSession.runTraffic();
        try (TrainingSession askSession = new TrainingSession(TrainingSession.Membership.ASK, folder)) {
            Sidecar sidecar = Sidecar.start(Config.load(askSession.environment()));
            askSession.awaitReady();
            askSession.runTraffic();
            exerciseRemainingPaths(sidecar);
            sidecar.halt();
        }
        pushSession.reload(pid);
        TrainingSession.signal(pid, "TERM");
    }

    /** Calls the engine directly for paths that the peers of the training run cannot trigger. */
    private static void exerciseRemainingPaths(Sidecar sidecar) throws InterruptedException, ExecutionException {
        Engine engine = sidecar.engine();
        sidecar.loop()
                .submit(() -> {
                    engine.probe(NO_UPSTREAM);
                    engine.listFailed();
                })
                .get();
    }

    private static void loadClasses() throws IOException, ClassNotFoundException {
        String jar = System.getProperty("java.class.path");
        for (String name : ArchiveCheck.servingClasses(jar)) {
            Class.forName(name);
        }
        for (String name : ArchiveCheck.classes(jar, NETTY_CHANNEL_CLASS)) {
            loadIfLinkable(name);
        }
        for (String name : SYSTEM_CALL_EXCEPTIONS) {
            loadIfLinkable(name);
        }
    }

    private static void loadIfLinkable(String name) throws ClassNotFoundException {
        try {
            Class.forName(name, false, ArchiveRun.class.getClassLoader());
        } catch (NoClassDefFoundError e) {
            // The class needs an optional library that is not packaged.
        }
    }
}
