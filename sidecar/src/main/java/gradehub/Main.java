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
 * {@code serve} runs the sidecar on sockets, {@code benchlink} plays the simulator's wire on standard streams, and
 * {@code archive} and {@code check-archive} are parts of the build: see {@link ArchiveRun} and {@link ArchiveCheck}.
 */
public final class Main {

    /** Netty's switch for the flight recorder events of its allocator. */
    private static final String NETTY_RECORDER_EVENTS = "io.netty.jfr.enabled";

    private static final String LOG_MANAGER = "java.util.logging.manager";

    private Main() {}

    /** Runs the command that the first argument names; ends with status 2 for any other arguments. */
    public static void main(String[] args) throws Exception {
        // Before Netty is loaded: it would set them up on the event loop, at the first chunk that it lets go.
        System.setProperty(NETTY_RECORDER_EVENTS, "false");
        // Before the first logger is made, which loads the log manager.
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
