package gradehub.node;

import java.lang.reflect.Proxy;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * SIGHUP: read the configuration again. It is caught from the start on, since it would end the virtual machine; one
 * that comes before there is anything to reload is kept for later. Files are read on a thread of its own. What could
 * not be read is read again until it can be, or until a newer signal comes.
 */
final class ReloadSignal {

    private static final long FIRST_PAUSE_MS = 20;
    private static final long LONGEST_PAUSE_MS = 500;

    private final ScheduledExecutorService reading = Executors.newSingleThreadScheduledExecutor(action -> {
        Thread thread = new Thread(action, "reload");
        thread.setDaemon(true);
        return thread;
    });
    private BooleanSupplier reload;
    private boolean early;
    /** How many signals have come: a retry for an older one is of no use. */
    private volatile int signals;

    /** By reflection: the one means there is for signals makes the compiler warn, and warnings end the build. */
    ReloadSignal() throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object calls =
                Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                    came();
                    return null;
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), calls);
    }

    /** Runs this at each signal from now on, and now if one has come before; again where it returns false. */
    synchronized void onSignal(BooleanSupplier action) {
        reload = action;
        if (early) {
            read(signals, 0);
        }
    }

    private synchronized void came() {
        signals++;
        if (reload == null) {
            early = true;
        } else {
            read(signals, 0);
        }
    }

    private void read(int signal, long pauseMs) {
        reading.schedule(
                () -> {
                    boolean isRetry = pauseMs > 0;
                    if ((!isRetry || signal == signals) && !reload.getAsBoolean()) {
                        read(signal, Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, 2 * pauseMs)));
                    }
                },
                pauseMs,
                TimeUnit.MILLISECONDS);
    }
}
