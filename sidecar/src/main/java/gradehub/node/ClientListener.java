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

/** Listening channel that accepts clients as {@link ReadAheadChannel}s and pauses briefly after a failed accept. */
final class ClientListener extends NioServerSocketChannel {

    /** Pause after a failed accept: an immediate retry would fail too, for example if descriptors have run out. */
    private static final long ACCEPT_RETRY_MS = 10;

    /** Returns how many more clients may be connected. */
    private final IntSupplier remainingClients;

    private final MemoryBudget memory;

    private final Runnable resumeTask =
            this::resume; // created up front: linking the lambda on first use would delay clients
    private final RateLimitedLog acceptFailureLog = new RateLimitedLog();

    private boolean paused;
    /** An accepted connection whose setup has failed and is to be retried, or null. */
    private SocketChannel pendingSetup;
    /** Set when the channel is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether the accept in progress checks for clients that the selector has not reported. */
    private boolean checkingForUnreported;
    /** Whether such a check has accepted a client. */
    private boolean acceptedUnreported;

    /** Creates a listener that accepts at most {@code remainingClients} clients at once. */
    ClientListener(IntSupplier remainingClients, MemoryBudget memory) {
        this.remainingClients = remainingClients;
        this.memory = memory;
    }

    /** Accepts all pending clients within the limit: any left would wait for the next iteration of the event loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        int before = accepted.size();
        if (!checkingForUnreported) {
            registrationMonitor.readReadinessReported();
        }
        try {
            accept(accepted, Math.max(1, remainingClients.getAsInt()));
        } catch (IOException | ChannelException e) {
            acceptFailureLog.warn("can't accept client connections: " + e.getMessage());
            pause();
        }
        acceptedUnreported |= checkingForUnreported && accepted.size() > before;
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

    /** Accepts pending clients that the selector has not reported; if there were any, renews the registration. */
    private void check(NioIoOps interest) {
        checkingForUnreported = true;
        acceptedUnreported = false;
        try {
            unsafe().read();
        } finally {
            checkingForUnreported = false;
        }
        if (acceptedUnreported) {
            registrationMonitor.renew("accepting");
        }
    }

    private void accept(List<Object> accepted, int max) throws IOException {
        for (int count = 0; count < max; count++) {
            if (pendingSetup == null) {
                pendingSetup = javaChannel().accept();
            }
            if (pendingSetup == null) {
                return;
            }
            pendingSetup.configureBlocking(false);
            SocketChannel client = pendingSetup;
            pendingSetup = null;
            accepted.add(new ReadAheadChannel(this, client, memory.reservation()));
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

    /** Starts or stops accepting, depending on whether more clients may be connected. */
    void updateAccepting() {
        boolean accepting = !paused && remainingClients.getAsInt() > 0;
        config().setAutoRead(accepting);
        if (accepting && pendingSetup != null) {
            acceptPending(1); // the selector does not report a connection that is already accepted
        }
    }

    /**
     * Accepts up to {@code max} pending connections, which would be reset, and lose what they have sent, when the
     * listener closes. Returns false if an accept failed, so that some may still be pending.
     */
    boolean acceptPending(int max) {
        boolean succeeded = true;
        List<Object> accepted = new ArrayList<>();
        try {
            accept(accepted, max);
        } catch (IOException | ChannelException e) {
            acceptFailureLog.warn("can't accept pending client connections: " + e.getMessage());
            succeeded = false;
            pause();
        }
        for (Object client : accepted) {
            pipeline().fireChannelRead(client);
        }
        return succeeded;
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
