package gradehub.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * The training run of the build: the virtual machine archives the classes that it has loaded and the lambdas that it
 * has linked by its end. What a sidecar needs beyond that is loaded or generated on its event loop, while requests
 * wait: so this run takes sidecars through all their paths, the rare ones too.
 */
public final class ArchiveRun {

    private static final int NO_UPSTREAM = -1;
    /** The network library's channels: which of their inner classes a connection needs is a matter of crossings. */
    private static final Pattern NETWORK =
            Pattern.compile("io\\.netty\\.channel\\.((nio|socket|socket\\.nio)\\.)?[^.]+");
    /** What the runtime throws for system calls that fail: which of them do is a matter of the machine. */
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
    /** It takes half a minute; the rest is for a busy builder. */
    private static final long LONGEST_MINUTES = 5;

    private ArchiveRun() {}

    /** Ends the process: as SIGTERM ends a sidecar, or with status 1 where it fails or comes to no end. */
    public static void main() {
        Thread watchdog = new Thread(ArchiveRun::failWhenOverdue, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            train();
        } catch (Exception e) {
            fail("failed: " + e);
        }
    }

    private static void failWhenOverdue() {
        try {
            TimeUnit.MINUTES.sleep(LONGEST_MINUTES);
            fail("has not ended after " + LONGEST_MINUTES + " minutes");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The sidecars that are still up would keep the process. */
    private static void fail(String what) {
        System.err.println("gradehub: the training run " + what);
        Runtime.getRuntime().halt(1);
    }

    private static void train()
            throws IOException, InterruptedException, ExecutionException, ClassNotFoundException,
                    Config.InvalidConfigException {
        loadServingClasses();
        Path folder = Files.createTempDirectory("training");
        long pid = ProcessHandle.current().pid();
        TrainingSession pushed = new TrainingSession(TrainingSession.Membership.PUSH, folder);
        Sidecar.main(pushed.environment());
        pushed.awaitReady();
        pushed.runTraffic();
        try (TrainingSession asked = new TrainingSession(TrainingSession.Membership.ASK, folder)) {
            Sidecar sidecar = Sidecar.start(Config.load(asked.environment()));
            asked.awaitReady();
            asked.runTraffic();
            takeUnusedPaths(sidecar);
            sidecar.halt();
        }
        pushed.reload(pid);
        TrainingSession.signal(pid, "TERM");
    }

    /** What no peer of the training run can bring about. */
    private static void takeUnusedPaths(Sidecar sidecar) throws InterruptedException, ExecutionException {
        Engine engine = sidecar.engine();
        sidecar.loop()
                .submit(() -> {
                    engine.probe(NO_UPSTREAM);
                    engine.listFailed();
                })
                .get();
    }

    private static void loadServingClasses() throws IOException, ClassNotFoundException {
        String jar = System.getProperty("java.class.path");
        for (String name : ArchiveCheck.servingClasses(jar)) {
            Class.forName(name);
        }
        for (String name : ArchiveCheck.classes(jar, NETWORK)) {
            load(name);
        }
        for (String name : SYSTEM_CALL_EXCEPTIONS) {
            load(name);
        }
    }

    private static void load(String name) throws ClassNotFoundException {
        try {
            Class.forName(name, false, ArchiveRun.class.getClassLoader());
        } catch (NoClassDefFoundError e) {
            // It needs a library that a sidecar has not.
        }
    }
}
