package gradehub.node;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Accepts clients on channels that can be looked at, and goes on soon after a failure that passes. */
final class ClientListener extends NioServerSocketChannel {

    /** From a failed accept to the next: what failed, as for want of descriptors, fails again at once. */
    private static final long PAUSE_MS = 10;

    private final IntSupplier room;
    private final Runnable resumeTask = this::resume; // made once: it would be linked while clients wait
    private final RateLimitedLog failures = new RateLimitedLog();

    private boolean pausing;
    /** Accepted, but not set up yet because that failed. */
    private SocketChannel unprepared;
    /** From when it is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether it accepts though the selector has not told of a client. */
    private boolean untold;
    /** Whether a client was accepted though the selector had not told of one. */
    private boolean foundUntold;

    /** Accepts as many clients at once as there is {@code room} for. */
    ClientListener(IntSupplier room) {
        this.room = room;
    }

    /** All that wait are accepted in one go: whoever is left would wait for another turn of the event loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        int before = accepted.size();
        if (!untold) {
            registrationMonitor.readReadinessReported();
        }
        try {
            accept(accepted, Math.max(1, room.getAsInt()));
        } catch (IOException | ChannelException e) {
            failures.warn("can't accept: " + e.getMessage());
            pause();
        }
        foundUntold |= untold && accepted.size() > before;
        return accepted.size() - before;
    }

    @Override
    protected void doRegister(ChannelPromise promise) {
        registrationMonitor = new RegistrationMonitor(this, this::registration, this::check);
        super.doRegister(promise);
    }

    @Override
    protected void doBeginRead() throws Exception {
        boolean registers = !registrationMonitor.isInterestedIn(NioIoOps.ACCEPT);
        super.doBeginRead();
        if (registers) {
            registrationMonitor.registrationChanged();
        }
    }

    /** Accepts who waits though the selector has not told of a client. */
    private void check(NioIoOps interest) {
        untold = true;
        foundUntold = false;
        try {
            unsafe().read();
        } finally {
            untold = false;
        }
        if (foundUntold) {
            registrationMonitor.renew("accepting");
        }
    }

    private void accept(List<Object> accepted, int most) throws IOException {
        for (int count = 0; count < most; count++) {
            if (unprepared == null) {
                unprepared = javaChannel().accept();
            }
            if (unprepared == null) {
                return;
            }
            unprepared.configureBlocking(false);
            SocketChannel client = unprepared;
            unprepared = null;
            accepted.add(new ReadAheadChannel(this, client));
        }
    }

    private void pause() {
        pausing = true;
        acceptWhileThereIsRoom();
        eventLoop().schedule(resumeTask, PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        pausing = false;
        acceptWhileThereIsRoom();
    }

    void acceptWhileThereIsRoom() {
        boolean accepts = !pausing && room.getAsInt() > 0;
        config().setAutoRead(accepts);
        if (accepts && unprepared != null) {
            acceptAll(1); // the selector does not tell of one that has been accepted
        }
    }

    /**
     * Accepts those that wait, up to this many: the listener's close would reset them, and what they have sent. Returns
     * false where that failed and some may still wait.
     */
    boolean acceptAll(int most) {
        boolean accepts = true;
        List<Object> waiting = new ArrayList<>();
        try {
            accept(waiting, most);
        } catch (IOException | ChannelException e) {
            failures.warn("can't accept what waits: " + e.getMessage());
            accepts = false;
            pause();
        }
        for (Object client : waiting) {
            pipeline().fireChannelRead(client);
        }
        return accepts;
    }

    @Override
    protected void doClose() throws Exception {
        if (unprepared != null) {
            unprepared.close();
        }
        if (registrationMonitor != null) {
            registrationMonitor.closed();
        }
        super.doClose();
    }
}
