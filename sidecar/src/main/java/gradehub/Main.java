package gradehub;

import gradehub.benchlink.BenchLink;
import gradehub.node.ArchiveCheck;
import gradehub.node.ArchiveRun;
import gradehub.node.Sidecar;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;

/**
 * Entry point. {@code serve} runs the sidecar on the network and {@code benchlink} speaks the simulator's protocol on
 * the standard streams; the build runs {@code archive} ({@link ArchiveRun}) and {@code check-archive}
 * ({@link ArchiveCheck}).
 */
public final class Main {

    /** Netty's property that enables the flight recorder events of its allocator. */
    private static final String NETTY_RECORDER_EVENTS = "io.netty.jfr.enabled";

    private static final String LOG_MANAGER = "java.util.logging.manager";

    private Main() {}

    /** Runs the command named by the first argument; exits with status 2 if the arguments are invalid. */
    public static void main(String[] args) throws Exception {
        // Set before Netty loads: it would initialize the events on the event loop when it first frees a chunk.
        System.setProperty(NETTY_RECORDER_EVENTS, "false");
        // Set before the first logger is created, which loads the log manager.
        System.setProperty(LOG_MANAGER, "gradehub.node.NonResettingLogManager");
        if (args.length == 1 && args[0].equals("serve")) {
            Sidecar.main(System.getenv());
        } else if (args.length == 1 && args[0].equals("benchlink")) {
            benchlink();
        } else if (args.length == 1 && args[0].equals("archive")) {
            ArchiveRun.main();
        } else if (args.length == 3 && args[0].equals("check-archive")) {
            ArchiveCheck.main(args[1], args[2]);
        } else {
            System.err.println("usage: java -jar gradehub.jar serve|benchlink|archive, not " + Arrays.toString(args));
            System.exit(2);
        }
    }

    private static void benchlink() {
        try (OutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new BenchLink(LoadShiftingBalancer::new, new FileInputStream(FileDescriptor.in), out).run();
        } catch (IOException e) {
            System.err.println("gradehub: " + e.getMessage());
            System.exit(1);
        }
    }
}
