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

/**
 * A socket on which one can look at what has come and has not been read by the event loop yet. What a look finds is
 * read by the event loop all the same, in its turn. Its configuration sets TCP_NODELAY where the system can; as an option
 * of a bootstrap, a failure to set it would close the connection.
 */
final class ReadAheadChannel extends NioSocketChannel {

    /** How far a look goes: what lies behind so much input, more than any request is, is not seen. */
    private static final int FURTHEST_BYTES = 1 << 17;

    private static final int FIRST_BYTES = 1024;

    /** What a read of the socket returns at the end of the stream; any other negative number is no end. */
    private static final int END = -1;
    /** Interrupted reads of one look; the event loop reads on after that. */
    private static final int MOST_INTERRUPTED = 16;

    private ByteBuf ahead;
    private boolean ended;
    /** From when it is registered with an event loop. */
    private RegistrationMonitor registrationMonitor;
    /** Whether it is being read though the selector has not told of input. */
    private boolean untold;

    /** Whether a check has found the connect over, before the event loop has dealt with it. */
    private boolean foundConnected;

    private IOException connectFailure;
    /** Made once: one that is made on a rare path would be linked while requests wait. */
    private final Runnable closeTask = this::close;

    private final Runnable readTask = this::readWhatIsAhead;

    /** For a connection that is to be opened. */
    ReadAheadChannel() {}

    /** For one that has been accepted. */
    ReadAheadChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    /** Whether it is open with nothing to read. */
    boolean isOpenWithoutInput() {
        return !isClosedByPeer() && ahead == null;
    }

    /** Whether the other side has closed it or broken it off; one that only sends nothing has not. */
    boolean isClosedByPeer() {
        if (isActive() && !ended) {
            look();
        }
        return ended || !isActive();
    }

    private void look() {
        if (ahead == null) {
            // An array: a copy between buffers goes by a method handle that would be compiled while requests wait.
            ahead = alloc().heapBuffer(FIRST_BYTES, FURTHEST_BYTES);
        }
        int before = ahead.readableBytes();
        try {
            ended = readToAhead() == END;
        } catch (IOException e) {
            ended = true;
            closeSoon();
        }
        if (ahead.readableBytes() > before) {
            readAhead();
        }
        letGo();
    }

    /** Reads what is there; returns what the last read did. */
    private int readToAhead() throws IOException {
        int read = 1;
        int interrupted = 0;
        while ((read > 0 || read < END && interrupted++ < MOST_INTERRUPTED) && ahead.maxWritableBytes() > 0) {
            ahead.ensureWritable(Math.min(FIRST_BYTES, ahead.maxWritableBytes()));
            read = ahead.writeBytes(javaChannel(), ahead.writableBytes());
        }
        return read;
    }

    /** The error has been taken from the socket: the event loop would not come by it. */
    private void closeSoon() {
        eventLoop().execute(closeTask);
    }

    private void letGo() {
        if (ahead != null && !ahead.isReadable()) {
            ahead.release();
            ahead = null;
        }
    }

    /** The selector does not tell of what has been taken from the socket already. */
    private void readAhead() {
        eventLoop().execute(readTask);
    }

    private void readWhatIsAhead() {
        if (ahead != null && isOpen() && config().isAutoRead()) {
            readUntold();
        }
    }

    // ---- What the selector may keep from it.

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
        foundConnected = false;
        super.doFinishConnect();
    }

    /** It becomes active in the event loop's own step, which tells its handlers of the change. */
    @Override
    public boolean isActive() {
        return !foundConnected && super.isActive();
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
            foundConnected = javaChannel().finishConnect();
        } catch (IOException e) {
            connectFailure = e;
        }
        if (foundConnected) {
            removeAndSubmit(NioIoOps.CONNECT);
        }
        if (foundConnected || connectFailure != null) {
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
        readUntold();
        registrationMonitor.renew("reading");
    }

    /** Reads though the selector has not told of input. */
    private void readUntold() {
        untold = true;
        try {
            unsafe().read();
        } finally {
            untold = false;
        }
    }

    // ---- Reading.

    @Override
    protected void doBeginRead() throws Exception {
        boolean registers = !registrationMonitor.isInterestedIn(NioIoOps.READ);
        super.doBeginRead();
        if (registers) {
            registrationMonitor.registrationChanged();
        }
        if (ahead != null) {
            readAhead();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        if (!untold) {
            registrationMonitor.readReadinessReported();
        }
        if (ahead == null) {
            int read = super.doReadBytes(into);
            return read < END ? 0 : read; // an interrupted read: the selector tells of the input again
        }
        int bytes = Math.min(ahead.readableBytes(), into.writableBytes());
        into.writeBytes(ahead.array(), ahead.arrayOffset() + ahead.readerIndex(), bytes);
        ahead.skipBytes(bytes);
        letGo();
        if (ahead != null) {
            readAhead();
        }
        return bytes;
    }

    @Override
    protected void doClose() throws Exception {
        if (ahead != null) {
            ahead.release();
            ahead = null;
        }
        if (registrationMonitor != null) {
            registrationMonitor.closed();
        }
        super.doClose();
    }
}
