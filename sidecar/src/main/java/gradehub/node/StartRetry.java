package gradehub.node;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

/**
 * Retries the steps of startup that fail for a transient reason, such as a lack of file descriptors or a port in use,
 * until shortly before the platform's startup timeout.
 */
final class StartRetry {

    /** A step of startup; an {@link IOException} counts as a transient failure. */
    interface Step<T> {
        T run() throws IOException, InterruptedException, Config.InvalidConfigException;
    }

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final long RETRY_DELAY_MS = 50;
    /** The platform considers a process failed if it is not ready 30 s after its start. */
    private static final long TIMEOUT_MS = 28_000;

    private final long deadlineNanos;

    /** The timeout counts from the start of the JVM. */
    StartRetry() {
        long leftMs = TIMEOUT_MS - ManagementFactory.getRuntimeMXBean().getUptime();
        deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs);
    }

    /** Runs a step until it succeeds; after the timeout throws the last failure. */
    <T> T runUntilSuccess(String name, Step<T> step)
            throws IOException, InterruptedException, Config.InvalidConfigException {
        boolean logged = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException e) {
                if (System.nanoTime() >= deadlineNanos) {
                    throw e;
                }
                if (!logged) {
                    LOG.log(System.Logger.Level.WARNING, name + " failed, retrying: " + e.getMessage());
                }
                logged = true;
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
            }
        }
    }
}
