package gradehub.node;

import io.netty.channel.Channel;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoOps;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Tracks whether one channel's registration with the selector is confirmed, and renews it. The selector passes to the
 * system only interest that differs from what it passed before, so a failed registration is repeated by clearing the
 * interest for one iteration of the event loop and setting it again.
 */
final class RegistrationMonitor {

    /** A channel's check for readiness that the selector has not reported. */
    interface Check {
        /** Processes the operations that are ready, and renews the registration if there were any. */
        void run(NioIoOps interest);
    }

    /** Long enough for the selector to process the cleared interest first. */
    private static final long RESTORE_DELAY_MS = 1;

    private final Channel channel;
    private final Supplier<IoRegistration> registration;
    private final Check check;
    private final SelectorRegistrations registrations;
    private final Runnable restoreInterest = this::restoreInterest;
    private boolean readReported;
    /** The interest that was cleared and is to be set again; 0 if none. */
    private int suspendedInterest;

    /** Creates the monitor of a channel that is being registered; called on its event loop. */
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

    /** Returns whether the channel's interest includes this operation. */
    boolean isInterestedIn(NioIoOps operation) {
        return operation.isIncludedIn(interest());
    }

    /** Marks the registration as unconfirmed after a change of the interest. */
    void registrationChanged() {
        readReported = false;
        registrations.markUnconfirmed(this);
    }

    /** Records that the selector has reported the channel as readable or acceptable. */
    void readReadinessReported() {
        readReported = true;
    }

    /** One report confirms a read registration; a connect or a write is reported only when it completes. */
    boolean isUnconfirmed() {
        int interest = interest();
        return NioIoOps.CONNECT.isIncludedIn(interest)
                || NioIoOps.WRITE.isIncludedIn(interest)
                || NioIoOps.READ_AND_ACCEPT.isIncludedIn(interest) && !readReported
                || suspendedInterest != 0;
    }

    void check() {
        int interest = interest();
        if (interest != 0 && isUnconfirmed()) {
            check.run(NioIoOps.valueOf(interest));
        }
    }

    /** Renews the registration after the selector has failed to report a ready operation. */
    void renew(String channelState) {
        registrations.renewed(channelState);
        int interest = interest();
        if (interest == 0 || suspendedInterest != 0) {
            return;
        }
        suspendedInterest = interest;
        registration.get().submit(NioIoOps.NONE);
        channel.eventLoop().schedule(restoreInterest, RESTORE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void restoreInterest() {
        int restored = channel.config().isAutoRead()
                ? suspendedInterest
                : NioIoOps.valueOf(suspendedInterest)
                        .without(NioIoOps.READ_AND_ACCEPT)
                        .value();
        suspendedInterest = 0;
        if (isRegistered()) {
            registration.get().submit(NioIoOps.valueOf(interest() | restored));
            registrationChanged();
        }
    }

    /** The interest as recorded in the selection key; 0 for a closed channel. */
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
