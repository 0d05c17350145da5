package gradehub.node;

import java.util.logging.LogManager;

/**
 * The runtime's log manager, without its end at SIGTERM: it would take away all handlers at the signal, and what the
 * sidecar says while it stops would be lost. Named by the system property {@code java.util.logging.manager}.
 */
public final class NonResettingLogManager extends LogManager {

    private volatile boolean lasting;

    /** For the runtime, which makes the one there is. */
    public NonResettingLogManager() {}

    /** From now on handlers stay. */
    static void disableReset() {
        if (LogManager.getLogManager() instanceof NonResettingLogManager manager) {
            manager.lasting = true;
        }
    }

    @Override
    public void reset() {
        if (!lasting) {
            super.reset();
        }
    }
}
