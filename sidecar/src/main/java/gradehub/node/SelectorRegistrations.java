package gradehub.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The channels of one event loop whose registration with the selector is unconfirmed. The JDK ignores a failed
 * {@code epoll_ctl}, so a channel that the system had no memory to register would never be reported as ready. Each
 * change of a registration is unconfirmed until the selector reports the channel; until then the channel is checked
 * once per period. A channel with a confirmed registration costs nothing.
 */
final class SelectorRegistrations {

    private static final long CHECK_PERIOD_MS = 40;
    private static final FastThreadLocal<SelectorRegistrations> CURRENT = new FastThreadLocal<>() {
        @Override
        protected SelectorRegistrations initialValue() {
            return new SelectorRegistrations();
        }
    };

    private final Set<RegistrationMonitor> registered = new HashSet<>();
    private final Set<RegistrationMonitor> unconfirmed = new HashSet<>();
    private final RateLimitedLog renewalLog = new RateLimitedLog();
    private final Runnable check = this::check;
    private EventLoop loop;
    private boolean scheduled;

    private SelectorRegistrations() {}

    /** Returns the registrations of the calling event loop. */
    static SelectorRegistrations current() {
        return CURRENT.get();
    }

    void add(RegistrationMonitor monitor, EventLoop loop) {
        this.loop = loop;
        registered.add(monitor);
    }

    void remove(RegistrationMonitor monitor) {
        registered.remove(monitor);
        unconfirmed.remove(monitor);
    }

    /** Checks this channel periodically until its registration is confirmed. */
    void markUnconfirmed(RegistrationMonitor monitor) {
        unconfirmed.add(monitor);
        schedule();
    }

    /** Marks all channels as unconfirmed: the event loop registers them with the new selector. */
    void selectorOpened() {
        List.copyOf(registered).forEach(RegistrationMonitor::registrationChanged);
    }

    /** Logs that a check found readiness that the selector had not reported; the report may have been imminent. */
    void renewed(String channelState) {
        renewalLog.warn("event=registration-renewed channel=" + channelState + " reason=not-told-by-selector");
    }

    private void check() {
        scheduled = false;
        for (RegistrationMonitor monitor : List.copyOf(unconfirmed)) {
            GuardedTask.run("checking a registration", monitor::check);
        }
        unconfirmed.removeIf(monitor -> !monitor.isUnconfirmed());
        if (!unconfirmed.isEmpty()) {
            schedule();
        }
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(check, CHECK_PERIOD_MS, TimeUnit.MILLISECONDS);
        }
    }
}
