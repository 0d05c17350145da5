package gradehub.node;

import java.lang.reflect.Proxy;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Handles SIGHUP, which reloads the configuration. The handler is installed before any other startup step, because
 * without one the signal ends the JVM; a signal that arrives before there is a reload action is kept until then. Files
 * are read on a separate thread. A failed read is retried until it succeeds or a newer signal arrives.
 */
final class ReloadSignal {

    private static final long MIN_RETRY_DELAY_MS = 20;
    private static final long MAX_RETRY_DELAY_MS = 500;

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(action -> {
        Thread thread = new Thread(action, "reload");
        thread.setDaemon(true);
        return thread;
    });
    private BooleanSupplier reload;
    private boolean pending;
    /** Number of signals received; a retry for an older signal is dropped. */
    private volatile int signals;

    /** Uses reflection: the only API for signals causes a compiler warning, and warnings fail the build. */
    ReloadSignal() throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onReceive =
                Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                    signalReceived();
                    return null;
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), onReceive);
    }

    /** Sets the action for each signal, and runs it now if one is pending; the action returns false to be retried. */
    synchronized void onSignal(BooleanSupplier action) {
        reload = action;
        if (pending) {
            scheduleReload(signals, 0);
        }
    }

    private synchronized void signalReceived() {
        signals++;
        if (reload == null) {
            pending = true;
        } else {
            scheduleReload(signals, 0);
        }
    }

    private void scheduleReload(int signal, long delayMs) {
        executor.schedule(
                () -> {
                    boolean isRetry = delayMs > 0;
                    if ((!isRetry || signal == signals) && !reload.getAsBoolean()) {
                        scheduleReload(signal, Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, 2 * delayMs)));
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }
}
