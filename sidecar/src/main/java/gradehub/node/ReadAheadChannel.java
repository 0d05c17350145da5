package gradehub.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A socket channel that can check for unread input, or for a close by the peer, ahead of the event loop's next read.
 * Input that a check reads is buffered and delivered through the pipeline as usual. The channel's configuration sets
 * TCP_NODELAY where the system permits it; as an option of the bootstrap, a failure to set it would close the connection.
 */
final class ReadAheadChannel extends NioSocketChannel {

    /** What a check finds out about the peer. */
    enum PeerState {
        /** All input has been read, and the peer has not closed or reset the connection. */
        CONNECTED,
        /** The peer has closed or reset the connection, or this side has closed it. */
        CLOSED,
        /** There is more input than may be read ahead, so that a close may follow it. */
        UNKNOWN
    }

    private final ReadAheadBuffer buffer;
    private final double waitingSinceMs;

    private boolean inputEnded;
    /** Whether the latest check has read all input that had arrived. */
    private boolean allInputRead;
    /** Null until the channel is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether the read in progress was started without a readiness report from the selector. */
    private boolean unreportedRead;

    /** Whether a check has completed the connect and the event loop has not processed it yet. */
    private boolean connectCompleted;

    private IOException connectFailure;
    /** Created once: a lambda created on a rare path would be linked while requests wait. */
    private final Runnable closeTask = this::close;

    private final Runnable readTask = this::readBuffered;
    private boolean readScheduled;

    /** Creates a channel for an outgoing connection. */
    ReadAheadChannel() {
        buffer = new ReadAheadBuffer(null);
        waitingSinceMs = 0;
        configure(null);
    }

    /**
     * Creates a channel for an accepted connection. What it reads ahead counts in {@code memory}; {@code waitingSinceMs}
     * is the earliest time at which the peer may have connected, or 0 if it has not waited to be accepted.
     */
    ReadAheadChannel(Channel parent, SocketChannel accepted, MemoryBudget.Reservation memory, double waitingSinceMs) {
        super(parent, accepted);
        buffer = new ReadAheadBuffer(memory);
        this.waitingSinceMs = waitingSinceMs;
        configure(memory.budget());
    }

    private void configure(MemoryBudget memory) {
        config().setAllocator(HeapAllocator.INSTANCE);
        config().setRecvByteBufAllocator(new ShortReads(this, memory));
    }

    /** Returns the earliest time at which the peer may have connected, or 0 if it has not waited to be accepted. */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** Returns how many bytes have arrived and are not delivered yet, as far as they may be read ahead. */
    int readAheadBytes() {
        return isOpenWithoutInput() ? 0 : buffer.readableBytes();
    }

    /** Returns whether there is input that has been read ahead and not delivered yet. */
    boolean isDeliveringInput() {
        return !buffer.isEmpty();
    }

    /** Returns whether the channel is open and has no unread input. */
    boolean isOpenWithoutInput() {
        return !isClosedByPeer() && buffer.isEmpty();
    }

    /** Checks whether the peer is still connected, as far as the input that may be read ahead shows it. */
    PeerState peerState() {
        if (isClosedByPeer()) {
            return PeerState.CLOSED;
        }
        return allInputRead ? PeerState.CONNECTED : PeerState.UNKNOWN;
    }

    /** Returns whether the peer is known to have closed or reset the connection, or this side has closed it. */
    boolean isClosedByPeer() {
        if (isActive() && !inputEnded) {
            fillBuffer();
        }
        return inputEnded || !isActive();
    }

    private void fillBuffer() {
        int before = buffer.readableBytes();
        try {
            int read = buffer.readFrom(javaChannel());
            inputEnded = read == ReadAheadBuffer.END_OF_STREAM;
            allInputRead = read == ReadAheadBuffer.NO_INPUT || inputEnded;
        } catch (IOException e) {
            inputEnded = true;
            scheduleClose();
        }
        if (buffer.readableBytes() > before) {
            scheduleRead();
        }
    }

    /** Closes the channel from the event loop, which cannot see an error that a check has already consumed. */
    private void scheduleClose() {
        if (isRegistered()) {
            eventLoop().execute(closeTask);
        }
    }

    /**
     * Schedules a read of the buffered input: the selector does not report input already read from the socket. Before it is
     * registered, a channel is not read. A timer that is due runs in the next turn of the event loop; tasks run in this one
     * as long as each adds another, while all sockets wait.
     */
    private void scheduleRead() {
        if (isRegistered() && !readScheduled) {
            readScheduled = true;
            eventLoop().schedule(readTask, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void readBuffered() {
        readScheduled = false;
        if (!buffer.isEmpty() && isOpen() && config().isAutoRead()) {
            readUnreported();
        }
    }

    // ---- Readiness that the selector may fail to report.

    @Override
    protected void doRegister(ChannelPromise promise) {
        registrationMonitor = new RegistrationMonitor(this, this::registration, this::check);
        super.doRegister(promise);
    }

    @Override
    protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
        boolean connected = super.doConnect(remote, local);
        if (!connected) {
            registrationMonitor.registrationChanged();
        }
        return connected;
    }

    @Override
    protected void doFinishConnect() throws Exception {
        if (connectFailure != null) {
            throw connectFailure;
        }
        connectCompleted = false;
        super.doFinishConnect();
    }

    /** Stays false until the event loop finishes the connect, because that step notifies the handlers. */
    @Override
    public boolean isActive() {
        return !connectCompleted && super.isActive();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer output) throws Exception {
        super.doWrite(output);
        if (registrationMonitor.isInterestedIn(NioIoOps.WRITE)) {
            registrationMonitor.registrationChanged();
        }
    }

    private void check(NioIoOps interest) {
        if (interest.contains(NioIoOps.CONNECT)) {
            checkConnect();
            return;
        }
        if (interest.contains(NioIoOps.WRITE)) {
            checkWrite();
        }
        if (interest.contains(NioIoOps.READ)) {
            checkRead();
        }
    }

    private void checkConnect() {
        try {
            connectCompleted = javaChannel().finishConnect();
        } catch (IOException e) {
            connectFailure = e;
        }
        if (connectCompleted) {
            removeAndSubmit(NioIoOps.CONNECT);
        }
        if (connectCompleted || connectFailure != null) {
            unsafe().finishConnect();
            registrationMonitor.renew("connecting");
        }
    }

    private void checkWrite() {
        ChannelOutboundBuffer output = unsafe().outboundBuffer();
        long before = output.totalPendingWriteBytes();
        unsafe().forceFlush();
        if (output.totalPendingWriteBytes() < before) {
            registrationMonitor.renew("writing");
        }
    }

    private void checkRead() {
        if (isOpenWithoutInput()) {
            return;
        }
        readUnreported();
        registrationMonitor.renew("reading");
    }

    /** Reads without a readiness report from the selector. */
    private void readUnreported() {
        unreportedRead = true;
        try {
            unsafe().read();
        } finally {
            unreportedRead = false;
        }
    }

    // ---- Reading.

    @Override
    protected void doBeginRead() throws Exception {
        boolean addsInterest = !registrationMonitor.isInterestedIn(NioIoOps.READ);
        super.doBeginRead();
        if (addsInterest) {
            registrationMonitor.registrationChanged();
        }
        if (!buffer.isEmpty()) {
            scheduleRead();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        if (!unreportedRead) {
            registrationMonitor.readReadinessReported();
        }
        if (buffer.isEmpty()) {
            int read = super.doReadBytes(target);
            // After an interrupted read the selector reports the input again.
            return read < ReadAheadBuffer.END_OF_STREAM ? 0 : read;
        }
        int bytes = buffer.moveTo(target);
        if (!buffer.isEmpty()) {
            scheduleRead();
        }
        return bytes;
    }

    @Override
    protected void doClose() throws Exception {
        buffer.release();
        if (registrationMonitor != null) {
            registrationMonitor.closed();
        }
        super.doClose();
    }
}
