package gradehub.node;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

/**
 * Goes on trying what a start needs while it fails for a reason that may pass, as want of descriptors or a port in use
 * does, until the platform's time for a start is nearly over.
 */
final class StartRetry {

    /** A step of the start; an {@link IOException} is taken for a failure that may pass. */
    interface Step<T> {
        T run() throws IOException, InterruptedException, Config.InvalidConfigException;
    }

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final long PAUSE_MS = 50;
    /** The platform takes a process for failed that is not ready 30 s after its start. */
    private static final long LONGEST_MS = 28_000;

    private final long endNanos;

    /** For a process that has run for as long as the virtual machine says. */
    StartRetry() {
        long leftMs = LONGEST_MS - ManagementFactory.getRuntimeMXBean().getUptime();
        endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs);
    }

    /** Runs a step until it succeeds; the last failure is thrown once there is no time left. */
    <T> T runUntilSuccess(String name, Step<T> step)
            throws IOException, InterruptedException, Config.InvalidConfigException {
        boolean told = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException e) {
                if (System.nanoTime() >= endNanos) {
                    throw e;
                }
                if (!told) {
                    LOG.log(System.Logger.Level.WARNING, name + " failed, trying again: " + e.getMessage());
                }
                told = true;
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
        }
    }
}
