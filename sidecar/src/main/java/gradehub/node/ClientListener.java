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

/** Listener that accepts clients as {@link ReadAheadChannel}s and resumes shortly after a failed accept. */
final class ClientListener extends NioServerSocketChannel {

    /** Delay after a failed accept: a lack of descriptors, for example, would make an immediate retry fail again. */
    private static final long ACCEPT_RETRY_MS = 10;

    private final IntSupplier room;
    private final Runnable resumeTask =
            this::resume; // created once: linking it on first use would delay waiting clients
    private final RateLimitedLog failures = new RateLimitedLog();

    private boolean paused;
    /** Accepted connection whose setup failed and is to be retried. */
    private SocketChannel pendingSetup;
    /** Set when the channel is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether the current accept was not triggered by the selector. */
    private boolean checkingUnreported;
    /** Whether such an accept found a client that the selector had not reported. */
    private boolean acceptedUnreported;

    /** Accepts at most {@code room} clients at once. */
    ClientListener(IntSupplier room) {
        this.room = room;
    }

    /** Accepts all pending clients at once: the others would wait for the next event loop iteration. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        int before = accepted.size();
        if (!checkingUnreported) {
            registrationMonitor.readReadinessReported();
        }
        try {
            accept(accepted, Math.max(1, room.getAsInt()));
        } catch (IOException | ChannelException e) {
            failures.warn("can't accept: " + e.getMessage());
            pause();
        }
        acceptedUnreported |= checkingUnreported && accepted.size() > before;
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

    /** Accepts pending clients that the selector has not reported. */
    private void check(NioIoOps interest) {
        checkingUnreported = true;
        acceptedUnreported = false;
        try {
            unsafe().read();
        } finally {
            checkingUnreported = false;
        }
        if (acceptedUnreported) {
            registrationMonitor.renew("accepting");
        }
    }

    private void accept(List<Object> accepted, int most) throws IOException {
        for (int count = 0; count < most; count++) {
            if (pendingSetup == null) {
                pendingSetup = javaChannel().accept();
            }
            if (pendingSetup == null) {
                return;
            }
            pendingSetup.configureBlocking(false);
            SocketChannel client = pendingSetup;
            pendingSetup = null;
            accepted.add(new ReadAheadChannel(this, client));
        }
    }

    private void pause() {
        paused = true;
        updateAccepting();
        eventLoop().schedule(resumeTask, ACCEPT_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        paused = false;
        updateAccepting();
    }

    void updateAccepting() {
        boolean accepts = !paused && room.getAsInt() > 0;
        config().setAutoRead(accepts);
        if (accepts && pendingSetup != null) {
            acceptPending(1); // the selector does not report a connection that is already accepted
        }
    }

    /**
     * Accepts up to {@code most} pending connections: closing the listener would reset them and discard what they have
     * sent. Returns false if an accept failed, so that some may still be pending.
     */
    boolean acceptPending(int most) {
        boolean accepts = true;
        List<Object> waiting = new ArrayList<>();
        try {
            accept(waiting, most);
        } catch (IOException | ChannelException e) {
            failures.warn("can't accept pending connections: " + e.getMessage());
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
        if (pendingSetup != null) {
            pendingSetup.close();
        }
        if (registrationMonitor != null) {
            registrationMonitor.closed();
        }
        super.doClose();
    }
}
