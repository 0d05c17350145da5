package gradehub.node;

import io.netty.channel.Channel;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * One channel's registration with the selector: whether it is in doubt, and how it is made anew. The selector tells the
 * system only of what differs from what it has told before, so a failed registration is repeated by taking the interest
 * back, for one turn of the event loop, and stating it again.
 */
final class RegistrationMonitor {

    /** What a channel does to find out whether the selector keeps something from it. */
    interface Check {
        /** Processes what is ready, and renews the registration where there was something. */
        void run(NioIoOps interest);
    }

    /** Behind the next look of the selector at what has changed. */
    private static final long RENEWAL_MS = 1;

    private final Channel channel;
    private final Supplier<IoRegistration> registration;
    private final Check check;
    private final SelectorRegistrations registrations;
    private final Runnable restate = this::restate;
    private boolean heard;
    /** The interest that has been taken back, to be stated again. */
    private int withdrawn;

    /** For a channel that is being registered, on its event loop. */
    RegistrationMonitor(Channel channel, Supplier<IoRegistration> registration, Check check) {
        this.channel = channel;
        this.registration = registration;
        this.check = check;
        registrations = SelectorRegistrations.current();
        registrations.add(this, channel.eventLoop());
    }

    void closed() {
        registrations.remove(this);
    }

    /** Whether the channel wants to be told of this. */
    boolean isInterestedIn(NioIoOps event) {
        return event.isIncludedIn(interest());
    }

    /** What it wants to be told of has changed, and so has its registration. */
    void registrationChanged() {
        heard = false;
        registrations.markUnconfirmed(this);
    }

    /** The selector has told that it can be read. */
    void readReadinessReported() {
        heard = true;
    }

    /** That it can be read is proven by being told once; a connect or a write is told of only at its end. */
    boolean isUnconfirmed() {
        int interest = interest();
        return NioIoOps.CONNECT.isIncludedIn(interest)
                || NioIoOps.WRITE.isIncludedIn(interest)
                || NioIoOps.READ_AND_ACCEPT.isIncludedIn(interest) && !heard
                || withdrawn != 0;
    }

    void check() {
        int interest = interest();
        if (interest != 0 && isUnconfirmed()) {
            check.run(NioIoOps.valueOf(interest));
        }
    }

    /** The selector has kept something from the channel: makes its registration anew. */
    void renew(String channelState) {
        registrations.renewed(channelState);
        int interest = interest();
        if (interest == 0 || withdrawn != 0) {
            return;
        }
        withdrawn = interest;
        registration.get().submit(NioIoOps.NONE);
        channel.eventLoop().schedule(restate, RENEWAL_MS, TimeUnit.MILLISECONDS);
    }

    private void restate() {
        int wanted = channel.config().isAutoRead()
                ? withdrawn
                : NioIoOps.valueOf(withdrawn).without(NioIoOps.READ_AND_ACCEPT).value();
        withdrawn = 0;
        if (isRegistered()) {
            registration.get().submit(NioIoOps.valueOf(interest() | wanted));
            registrationChanged();
        }
    }

    /** What the selector is to tell of, as the runtime has it; 0 for a channel that is closed. */
    private int interest() {
        if (!isRegistered()) {
            return 0;
        }
        SelectionKey key = registration.get().attachment();
        return key.isValid() ? key.interestOps() : 0;
    }

    private boolean isRegistered() {
        return channel.isOpen() && channel.isRegistered() && registration.get().isValid();
    }
}
