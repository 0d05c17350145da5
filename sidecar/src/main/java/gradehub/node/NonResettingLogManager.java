package gradehub.node;

import java.util.logging.LogManager;

/**
 * A log manager whose reset can be disabled. The JDK's log manager has a shutdown hook that removes all handlers, so what
 * the sidecar logs while it stops after SIGTERM would be lost. Selected by the system property
 * {@code java.util.logging.manager}.
 */
public final class NonResettingLogManager extends LogManager {

    private volatile boolean resetDisabled;

    /** Called by the JDK, which creates the single instance by reflection. */
    public NonResettingLogManager() {}

    /** Keeps the handlers from now on, also at shutdown. */
    static void disableReset() {
        if (LogManager.getLogManager() instanceof NonResettingLogManager manager) {
            manager.resetDisabled = true;
        }
    }

    @Override
    public void reset() {
        if (!resetDisabled) {
            super.reset();
        }
    }
}
