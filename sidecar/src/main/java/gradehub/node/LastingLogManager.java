package gradehub.node;

import java.util.logging.LogManager;

/**
 * The runtime's log manager, without its end at SIGTERM: it would take away all handlers at the signal, and what the
 * sidecar says while it stops would be lost. Named by the system property {@code java.util.logging.manager}.
 */
public final class LastingLogManager extends LogManager {

    private volatile boolean lasting;

    /** For the runtime, which makes the one there is. */
    public LastingLogManager() {}

    /** From now on handlers stay. */
    static void keepHandlers() {
        if (LogManager.getLogManager() instanceof LastingLogManager manager) {
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
