package gradehub.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The channels of one event loop whose registration with the selector is in doubt. The runtime passes over a failed
 * {@code epoll_ctl}, so a channel that the system had no memory to register would never be heard. Each change of a
 * registration is in doubt until the selector has told of the channel; until then the channel is checked once in a
 * period. A channel that is heard costs nothing.
 */
final class SelectorRegistrations {

    private static final long PERIOD_MS = 40;
    private static final FastThreadLocal<SelectorRegistrations> CURRENT = new FastThreadLocal<>() {
        @Override
        protected SelectorRegistrations initialValue() {
            return new SelectorRegistrations();
        }
    };

    private final Set<RegistrationMonitor> registered = new HashSet<>();
    private final Set<RegistrationMonitor> doubtful = new HashSet<>();
    private final RateLimitedLog renewals = new RateLimitedLog();
    private final Runnable check = this::check;
    private EventLoop loop;
    private boolean scheduled;

    private SelectorRegistrations() {}

    /** Those of the event loop that calls this. */
    static SelectorRegistrations current() {
        return CURRENT.get();
    }

    void add(RegistrationMonitor watch, EventLoop loop) {
        this.loop = loop;
        registered.add(watch);
    }

    void remove(RegistrationMonitor watch) {
        registered.remove(watch);
        doubtful.remove(watch);
    }

    /** Checks this channel from now on, until it is no longer in doubt. */
    void markUnconfirmed(RegistrationMonitor watch) {
        doubtful.add(watch);
        schedule();
    }

    /** The event loop has a new selector, with which all channels are registered anew. */
    void selectorOpened() {
        List.copyOf(registered).forEach(RegistrationMonitor::registrationChanged);
    }

    /** A check has found something of which the selector has not told; it may have been about to. */
    void renewed(String channelState) {
        renewals.warn("event=registration-renewed channel=" + channelState + " reason=not-told-by-selector");
    }

    private void check() {
        scheduled = false;
        for (RegistrationMonitor watch : List.copyOf(doubtful)) {
            GuardedTask.run("checking a registration", watch::check);
        }
        doubtful.removeIf(watch -> !watch.isUnconfirmed());
        if (!doubtful.isEmpty()) {
            schedule();
        }
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(check, PERIOD_MS, TimeUnit.MILLISECONDS);
        }
    }
}
