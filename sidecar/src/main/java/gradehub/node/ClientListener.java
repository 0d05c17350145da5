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

/**
 * Listening channel that accepts clients as {@link ReadAheadChannel}s. It pauses briefly after a failed accept, and while
 * no more clients may be connected. Clients in the backlog then get a connection only if they have sent something.
 */
final class ClientListener extends NioServerSocketChannel {

    /** The sockets of connected clients. */
    interface ClientSockets {
        /** Returns how many more clients may be connected. */
        int remaining();

        /** Closes the connection of a client that has sent nothing; returns whether there was one. */
        boolean closeUnused();
    }

    /** Pause after a failed accept: an immediate retry would fail too, for example if descriptors have run out. */
    private static final long ACCEPT_RETRY_MS = 10;
    /** Limit on clients accepted from the backlog at once while sockets have run out. */
    private static final int MAX_SWEPT = 128;
    /** Limit on silent clients closed for them at once: their descriptors are free only in the next turn of the loop. */
    private static final int MAX_REPLACED = 8;

    /** A backlog that is not empty for longer is marked, so that clients are not charged with the wait of earlier ones. */
    private static final double MAX_UNMARKED_WAIT_MS = 100;

    private final ClientSockets clients;
    private final MemoryBudget memory;
    private final BacklogWait backlogWait;
    private final BacklogMarkers markers = new BacklogMarkers();

    private final Runnable resumeTask =
            this::resume; // created up front: linking the lambda on first use would delay clients
    private final Runnable acceptTask = this::acceptWaiting;
    private final RateLimitedLog acceptFailureLog = new RateLimitedLog();

    private boolean paused;
    private boolean acceptScheduled;
    /** An accepted connection whose setup has failed and is to be retried, or null. */
    private SocketChannel pendingSetup;
    /** An accepted client that has sent something and waits for a free socket, or null. */
    private ReadAheadChannel held;
    /** Set when the channel is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether the accept in progress checks for clients that the selector has not reported. */
    private boolean checkingForUnreported;
    /** Whether such a check has accepted a client. */
    private boolean acceptedUnreported;

    ClientListener(ClientSockets clients, MemoryBudget memory, BacklogWait backlogWait) {
        this.clients = clients;
        this.memory = memory;
        this.backlogWait = backlogWait;
    }

    /** Accepts all pending clients within the limit: any left would wait for the next iteration of the event loop. */
    @Override
    protected int doReadMessages(List<Object> accepted) {
        int before = accepted.size();
        if (!checkingForUnreported) {
            registrationMonitor.readReadinessReported();
        }
        try {
            accept(accepted, Math.max(1, clients.remaining()));
        } catch (IOException | ChannelException e) {
            acceptFailed("can't accept client connections: ", e);
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
            ReadAheadChannel client = takeWaiting();
            if (client == null) {
                backlogWait.end();
                return;
            }
            accepted.add(client);
        }
        backlogWait.begin();
    }

    /** Returns the client that has waited for longest, or null if the backlog is empty. */
    private ReadAheadChannel takeWaiting() throws IOException {
        if (held != null) {
            ReadAheadChannel client = held;
            held = null;
            return client;
        }
        if (pendingSetup == null) {
            pendingSetup = acceptPastMarkers();
        }
        if (pendingSetup == null) {
            markers.clear();
            return null;
        }
        pendingSetup.configureBlocking(false);
        SocketChannel client = pendingSetup;
        pendingSetup = null;
        return new ReadAheadChannel(this, client, memory.reservation(), backlogWait.sinceMs());
    }

    private SocketChannel acceptPastMarkers() throws IOException {
        SocketChannel accepted = javaChannel().accept();
        while (accepted != null) {
            double placedMs = markers.remove(accepted);
            if (placedMs == 0) {
                return accepted;
            }
            backlogWait.advance(placedMs);
            accepted.close();
            accepted = javaChannel().accept();
        }
        return null;
    }

    private void acceptFailed(String message, Exception cause) {
        acceptFailureLog.warn(message + cause.getMessage());
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
        boolean accepting = !paused && clients.remaining() > 0;
        config().setAutoRead(accepting);
        if (!accepting) {
            backlogWait.begin();
        } else if (backlogWait.isPossible() && !acceptScheduled) {
            // The selector reports neither an empty backlog nor a connection that is already accepted.
            acceptScheduled = true;
            eventLoop().execute(acceptTask);
        }
    }

    private void acceptWaiting() {
        acceptScheduled = false;
        if (isOpen() && !paused && clients.remaining() > 0) {
            acceptPending(clients.remaining());
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
            accept(accepted, held == null ? max : Math.max(1, max));
        } catch (IOException | ChannelException e) {
            acceptFailed("can't accept pending client connections: ", e);
            succeeded = false;
        }
        for (Object client : accepted) {
            pipeline().fireChannelRead(client);
        }
        return succeeded;
    }

    // ---- While no more clients may be connected.

    /**
     * Looks for clients that wait in the backlog. Where no more may be connected, those that have sent something take the
     * sockets of clients that have not; those that have sent nothing are closed, as they would keep the others waiting.
     */
    void checkBacklog(double nowMs) {
        if (paused || !isOpen()) {
            return;
        }
        boolean emptied = !backlogWait.isPossible();
        try {
            emptied = clients.remaining() > 0 ? emptied : sweepBacklog();
        } catch (IOException | ChannelException e) {
            acceptFailed("can't accept client connections: ", e);
        }
        if (!emptied && nowMs - backlogWait.sinceMs() > MAX_UNMARKED_WAIT_MS) {
            markers.place(localAddress(), nowMs);
        }
    }

    /** Returns whether the backlog is empty. */
    private boolean sweepBacklog() throws IOException {
        int replaced = 0;
        for (int swept = 0; swept < MAX_SWEPT; swept++) {
            ReadAheadChannel client = takeWaiting();
            if (client == null) {
                backlogWait.end();
                backlogWait.begin(); // for those that connect from now on
                return true;
            }
            if (client.isClosedByPeer() || client.isOpenWithoutInput()) {
                client.unsafe().closeForcibly();
            } else if (replaced < MAX_REPLACED && clients.closeUnused()) {
                replaced++;
                pipeline().fireChannelRead(client);
            } else {
                held = client;
                return false;
            }
        }
        return false;
    }

    @Override
    protected void doClose() throws Exception {
        if (pendingSetup != null) {
            pendingSetup.close();
        }
        if (held != null) {
            held.unsafe().closeForcibly();
        }
        markers.clear();
        if (registrationMonitor != null) {
            registrationMonitor.closed();
        }
        super.doClose();
    }
}
