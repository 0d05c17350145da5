package gradehub.node;

import java.util.concurrent.TimeUnit;

/** Logs what can come in floods: one line a second at the most, which says how many were left out before it. */
final class RateLimitedLog {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private boolean logged;
    private long lastNanos;
    private long leftOut;

    void warn(String message) {
        long nowNanos = System.nanoTime();
        if (logged && nowNanos - lastNanos < PERIOD_NANOS) {
            leftOut++;
            return;
        }
        String suffix = leftOut == 0 ? "" : " (" + leftOut + " more since the last line)";
        logged = true;
        lastNanos = nowNanos;
        leftOut = 0;
        LOG.log(System.Logger.Level.WARNING, message + suffix);
    }
}
