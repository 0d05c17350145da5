package gradehub.node;

import java.util.concurrent.TimeUnit;

/** Logs warnings that can occur in bursts: at most one line per second, with the number suppressed since the last. */
final class RateLimitedLog {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private boolean logged;
    private long lastNanos;
    private long suppressed;

    void warn(String message) {
        long nowNanos = System.nanoTime();
        if (logged && nowNanos - lastNanos < PERIOD_NANOS) {
            suppressed++;
            return;
        }
        String suffix = suppressed == 0 ? "" : " (" + suppressed + " more suppressed since the last line)";
        logged = true;
        lastNanos = nowNanos;
        suppressed = 0;
        LOG.log(System.Logger.Level.WARNING, message + suffix);
    }
}
