package gradehub.node;

import gradehub.node.ClientRequest.RejectedException;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A client connection: reads pipelined requests, writes their answers in request order, and closes gracefully. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> implements RequestDecoder.Input {

    private static final System.Logger LOG = System.getLogger("gradehub");
    /** Time limit from the first to the last byte of a request; counts from connecting for the first request. */
    private static final double REQUEST_TIMEOUT_MS = 2200;
    /** The same limit during shutdown: requests being received are still awaited, but for less time. */
    static final double SHUTDOWN_REQUEST_TIMEOUT_MS = 500;
    /** Time limit for the first byte when sockets run short: clients normally send as soon as they are connected. */
    private static final double FIRST_BYTE_TIMEOUT_MS = 250;
    /** How long the input that such a check finds may take to be delivered, in several turns of the event loop. */
    private static final double DELIVERY_TIMEOUT_MS = 200;
    /** When sockets run out, an incomplete request may be refused this long after its first byte. */
    private static final double MIN_RECEIVE_MS = 250;
    /** When memory runs out, an incomplete request may be refused when nothing of it has come for this long. */
    private static final double STALLED_MS = 250;
    /** When sockets run short, a connection may be closed after being idle for this long. */
    private static final double IDLE_TIMEOUT_MS = 2000;
    /** Time limit for the client to read an answer. */
    private static final double ANSWER_READ_TIMEOUT_MS = 5000;
    /**
     * How long input is read and discarded after the last answer: closing with unread input resets the connection, and
     * the client may lose an error answer.
     */
    static final double DRAIN_TIMEOUT_MS = 500;

    /** Bytes of input after which draining ends with an immediate close. */
    private static final int MAX_DRAIN_BYTES = 1 << 18;
    /** Number of requests, without an answer or with an unwritten one, at which reading pauses. */
    private static final int MAX_OPEN_REQUESTS = 4;
    /** Number of requests read at once after which reading pauses: the sidecar answers some of them itself, at once. */
    private static final int MAX_REQUESTS_AT_ONCE = 4;
    /** Length of that pause, in which the event loop serves its other connections. */
    private static final long PAUSE_MS = 1;

    private final ReadAheadChannel channel;
    private final ClientServer server;
    private final BodyCollector body;
    private final RequestDecoder decoder;
    private final UnreadTime unreadTime;
    private final ArrayDeque<PendingAnswer> pending = new ArrayDeque<>();
    /** When the connection became idle, or 0 while it is not. */
    private double idleSinceMs;
    /** When the request being received began (for the first one, when the client connected), or 0 if there is none. */
    private double receivingSinceMs;
    /** When input last came. */
    private double receivedMs;
    /** When the pending writes last made progress, or 0 if there are none. */
    private double writingSinceMs;
    /** When the output was shut down, or 0 before that. */
    private double drainingSinceMs;

    private int pendingWrites;
    private int drainedBytes;
    /** The number of requests read without a pause. */
    private int requestsAtOnce;
    /** Created once: a lambda created on a rare code path would be linked while requests wait. */
    private final Runnable endPause = this::endPause;

    private final Runnable resumeDecoding = this::resumeDecoding;
    private boolean resumeScheduled;
    /** Whether the client has sent nothing yet. */
    private boolean nothingReceived = true;
    /** Whether any request has been answered. */
    private boolean answered;
    /** Whether further input is discarded instead of being decoded as requests. */
    private boolean discarding;
    /** When unread input was checked for since the request became overdue, or 0 before that. */
    private double unreadInputCheckedMs;

    ClientConnection(ReadAheadChannel channel, ClientServer server, BodyCollector body) {
        this.channel = channel;
        this.server = server;
        this.body = body;
        decoder = new RequestDecoder(this, server.memory());
        unreadTime = new UnreadTime(channel.waitingSinceMs());
    }

    RequestDecoder decoder() {
        return decoder;
    }

    /** A request whose answer has not been sent, and the answer once it is available. */
    private final class PendingAnswer implements Engine.Client, RequestIds.Holder {
        private boolean keepAlive;
        /** The memory of the request. */
        private final MemoryBudget.Reservation memory;
        /** The memory of the answer, until it is written. */
        private final MemoryBudget.Reservation answerMemory = server.memory().reservation();

        /** The identifier that this request holds, or null if it is not submitted. */
        private String id;

        private Engine.Exchange exchange;
        private FullHttpResponse response;

        private PendingAnswer(boolean keepAlive) {
            this.keepAlive = keepAlive;
            this.memory = body.takeReservation();
        }

        @Override
        public void answer(Answer answer) {
            FullHttpResponse message = response(HttpResponseStatus.valueOf(answer.status()), answer.body());
            if (answer.contentType() != null) {
                message.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
            }
            if (answer.retryAfterMs() > 0) {
                message.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", answer.retryAfterMs() / 1000));
            }
            answer(message);
        }

        @Override
        public ReadAheadChannel.PeerState state() {
            return channel.peerState();
        }

        @Override
        public void closed(boolean mustNotRepeat) {
            server.closeId(id, mustNotRepeat);
        }

        @Override
        public void completed() {
            memory.release();
        }

        @Override
        public void endIfClientLeft() {
            if (exchange != null && channel.isClosedByPeer()) {
                server.clientClosed(exchange);
            }
        }

        private void answer(FullHttpResponse message) {
            if (id == null) {
                completed(); // it was never submitted
            }
            response = message;
            answerMemory.grow(message.content().readableBytes());
            flushAnswers();
        }
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        receivingSinceMs = server.nowMs();
        int arrivedBytes = channel.waitingSinceMs() > 0 ? channel.readAheadBytes() : 0;
        unreadTime.opened(receivingSinceMs, server.lagMs(), arrivedBytes);
        server.connections().opened(this);
    }

    // Requests

    @Override
    public void received(int bytes) {
        nothingReceived = false;
        receivedMs = server.nowMs();
        unreadTime.received(bytes);
        requestIncomplete();
        if (drainingSinceMs > 0) {
            drainedBytes += bytes;
            if (drainedBytes > MAX_DRAIN_BYTES) {
                close();
            }
        }
    }

    @Override
    public boolean isDiscarding() {
        return discarding;
    }

    @Override
    public void requestIncomplete() {
        if (!discarding && receivingSinceMs == 0) {
            receivingSinceMs = server.nowMs();
            idleSinceMs = 0;
        }
    }

    @Override
    public void memoryExhausted() {
        if (!discarding) {
            reject(new HeaderLimit.NoMemoryException());
        }
    }

    @Override
    public boolean isPaused() {
        return openRequests() >= MAX_OPEN_REQUESTS || requestsAtOnce >= MAX_REQUESTS_AT_ONCE;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (requestsAtOnce < MAX_REQUESTS_AT_ONCE) {
            requestsAtOnce = 0;
        }
        unreadTime.readCompleted();
        updateUnreadTime();
        context.fireChannelReadComplete();
    }

    private void endPause() {
        requestsAtOnce = 0;
        if (channel.isOpen()) {
            updateAutoRead();
        }
    }

    /** Decodes the input that is held, until the next pause. */
    private void resumeDecoding() {
        resumeScheduled = false;
        if (channel.isOpen() && decoder.isHolding() && !isPaused()) {
            channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            channel.pipeline().fireChannelReadComplete();
            updateAutoRead();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        if (discarding) {
            return;
        }
        receivingSinceMs = 0;
        idleSinceMs = 0;
        unreadInputCheckedMs = 0;
        if (message.decoderResult().isFailure()) {
            reject(message.decoderResult().cause());
            return;
        }
        PendingAnswer next = new PendingAnswer(HttpUtil.isKeepAlive(message));
        pending.add(next);
        requestsAtOnce++;
        if (requestsAtOnce == MAX_REQUESTS_AT_ONCE) {
            channel.eventLoop().schedule(endPause, PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        updateAutoRead();
        if (server.isReadinessCheck(message)) {
            next.answer(response(
                    server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]));
        } else if (body.isDropped()) {
            server.recordNoMemory(message);
            next.answer(Answer.refused(0));
        } else {
            submit(message, next);
        }
    }

    private void updateUnreadTime() {
        if (isPaused()) {
            unreadTime.paused(server.nowMs());
        } else if (unreadTime.mayEndWait() && !decoder.isHolding() && channel.isOpenWithoutInput()) {
            unreadTime.waitEnded();
        }
    }

    private void submit(FullHttpRequest message, PendingAnswer next) {
        try {
            ClientRequest request = server.open(message, next);
            next.id = request.id();
            boolean first = !answered && pending.size() == 1;
            double unreadMs = unreadTime.maxMs(server.nowMs(), server.lagMs(), first);
            next.exchange = server.submit(request, unreadMs, next);
        } catch (RejectedException e) {
            server.recordRejected(message, e);
            // Closes the connection: a client could keep the event loop busy with thousands of rejected requests.
            discarding = true;
            next.keepAlive = false;
            next.answer(response(e.status, e.getMessage().getBytes(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event == HttpHeaderValues.CONTINUE && pending.isEmpty() && !discarding) {
            channel.writeAndFlush(response(HttpResponseStatus.CONTINUE, new byte[0]));
        }
        super.userEventTriggered(context, event);
    }

    /** Answers with an error and closes the connection: where the next request starts is unknown. */
    private void reject(Throwable cause) {
        receivingSinceMs = 0;
        discarding = true;
        PendingAnswer last = new PendingAnswer(false);
        pending.add(last);
        HttpResponseStatus status = RequestValidator.status(cause);
        server.recordIncomplete(cause, status);
        last.answer(response(status, new byte[0]));
    }

    // Answers

    private void flushAnswers() {
        while (!pending.isEmpty() && pending.peekFirst().response != null) {
            PendingAnswer first = pending.pollFirst();
            boolean last = !first.keepAlive || pending.isEmpty() && !decoder.isHolding() && closesAfterAnswer();
            answered = true;
            discarding |= last; // later requests would get no answer
            HttpUtil.setKeepAlive(first.response, !last);
            writingSinceMs = pendingWrites++ == 0 ? server.nowMs() : writingSinceMs;
            channel.writeAndFlush(first.response).addListener(out -> {
                first.answerMemory.release();
                if (out.isSuccess()) {
                    onWritten(last);
                } else {
                    close(); // the client would take the next answer for this one
                }
            });
        }
        if (pending.isEmpty() && receivingSinceMs == 0) {
            idleSinceMs = server.nowMs();
            server.connections().used(this);
        }
        updateAutoRead();
    }

    private boolean closesAfterAnswer() {
        return server.closing() || !answered && server.connections().isCrowded();
    }

    /** Reads on once the input that was read before a pause has been decoded: no more than one read is held. */
    private void updateAutoRead() {
        boolean taking = !discarding && !isPaused();
        updateUnreadTime();
        channel.config().setAutoRead(drainingSinceMs > 0 || taking && !decoder.isHolding());
        if (taking && decoder.isHolding() && !resumeScheduled) {
            resumeScheduled = true;
            channel.eventLoop().execute(resumeDecoding);
        }
    }

    /** Requests without an answer, and those whose answer is not written: a client may not read its answers. */
    private int openRequests() {
        return pending.size() + pendingWrites;
    }

    private void onWritten(boolean last) {
        pendingWrites--;
        writingSinceMs = pendingWrites == 0 ? 0 : server.nowMs();
        if (last) {
            shutdown();
        } else {
            updateAutoRead();
        }
    }

    // Closing: every graceful close starts in shutdown(), directly or after the last answer. Accepted requests are
    // answered first, unread input is checked for, and later input is read and discarded: closing a socket with unread
    // input sends a reset.

    /** Starts or completes the close of a connection that is idle or has sent nothing; returns whether it did. */
    boolean closeToFreeSocket(double nowMs) {
        boolean draining = drainingSinceMs > 0 && pendingWrites == 0;
        boolean canClose = draining
                || hasNoWork()
                        && (idleSinceMs > 0 && nowMs - idleSinceMs > IDLE_TIMEOUT_MS
                                || nothingReceived && nowMs - receivingSinceMs > FIRST_BYTE_TIMEOUT_MS);
        if (!canClose || !channel.isOpenWithoutInput()) {
            return false;
        }
        if (draining) {
            close();
        } else {
            shutdown();
        }
        return true;
    }

    /** Closes the connection if its client has sent nothing, or needs it no more; returns whether it did. */
    boolean closeIfUnused() {
        boolean unused = drainingSinceMs > 0 ? pendingWrites == 0 : nothingReceived && hasNoWork();
        if (!unused || !channel.isOpenWithoutInput()) {
            return false;
        }
        close();
        return true;
    }

    /**
     * Refuses the request that is being received, which frees the socket soon; returns whether it did. Another client
     * may be waiting to be accepted, and nothing of this request has been forwarded.
     */
    boolean refuseIncomplete(double nowMs) {
        boolean canRefuse = nowMs - receivingSinceMs > MIN_RECEIVE_MS && isReceiving();
        if (canRefuse) {
            reject(new RejectedException(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections send incomplete requests"));
        }
        return canRefuse;
    }

    /** Refuses the request that is being received if nothing of it has come for a while, which frees its memory. */
    void refuseStalled(double nowMs) {
        if (nowMs - receivedMs > STALLED_MS && isReceiving()) {
            reject(new HeaderLimit.NoMemoryException());
        }
    }

    /** Whether a request has begun to come, and all of it that has come is read. */
    private boolean isReceiving() {
        return hasNoWork() && !discarding && !nothingReceived && receivingSinceMs > 0 && channel.isOpenWithoutInput();
    }

    /** Whether the connection is closing or sends its last answer, so that its socket will be free soon. */
    boolean isEnding() {
        return discarding;
    }

    void closeIfOverdue(double nowMs) {
        if (server.closing()) {
            closeIfIdle(nowMs);
        }
        boolean leftUnseen = !channel.config().isAutoRead() && channel.isClosedByPeer();
        if (leftUnseen
                || drainingSinceMs > 0 && nowMs - drainingSinceMs > DRAIN_TIMEOUT_MS
                || writingSinceMs > 0 && nowMs - writingSinceMs > ANSWER_READ_TIMEOUT_MS) {
            close();
        } else if (receivingSinceMs > 0 && nowMs > receiveDeadlineMs() && isInputRead(nowMs)) {
            if (nothingReceived) {
                shutdown();
            } else {
                reject(new RejectedException(
                        HttpResponseStatus.REQUEST_TIMEOUT, "the request was not received in time"));
            }
        }
    }

    /** When the request being received has to be complete. */
    private double receiveDeadlineMs() {
        double timeoutMs = server.closing() ? SHUTDOWN_REQUEST_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
        return Math.min(Math.max(receivingSinceMs, server.closingSinceMs()) + timeoutMs, server.answerByMs());
    }

    /** Elapsed time alone proves no timeout: input may have arrived in time and be unread for lack of CPU time. */
    private boolean isInputRead(double nowMs) {
        if (unreadInputCheckedMs == 0) {
            unreadInputCheckedMs = nowMs;
            return channel.isOpenWithoutInput();
        }
        return !channel.isDeliveringInput() || nowMs - unreadInputCheckedMs > DELIVERY_TIMEOUT_MS;
    }

    /** Closes the connection unless a request is open, being received or likely to arrive: that is answered first. */
    void closeIfIdle(double nowMs) {
        boolean receiving =
                receivingSinceMs > 0 && (!nothingReceived || nowMs - receivingSinceMs <= FIRST_BYTE_TIMEOUT_MS);
        if (hasNoWork() && !receiving && channel.isOpenWithoutInput()) {
            shutdown();
        }
    }

    private boolean hasNoWork() {
        return pending.isEmpty() && pendingWrites == 0 && drainingSinceMs == 0 && !decoder.isHolding();
    }

    /** Shuts the output down; requests that arrive afterwards are read but not served, and their clients retry. */
    private void shutdown() {
        discarding = true;
        receivingSinceMs = 0;
        idleSinceMs = 0;
        drainingSinceMs = server.nowMs();
        updateAutoRead();
        channel.shutdownOutput();
    }

    private void close() {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.connections().closed(this);
        for (PendingAnswer request = pending.poll(); request != null; request = pending.poll()) {
            if (request.response != null) {
                request.response.release();
                request.answerMemory.release();
            } else if (request.exchange != null) {
                server.clientClosed(request.exchange);
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException && !discarding) {
            reject(cause);
            return;
        }
        if (!(cause instanceof IOException || cause instanceof PrematureChannelClosureException)) {
            LOG.log(System.Logger.Level.ERROR, "closing a client connection after an unexpected error", cause);
        }
        close();
    }
}
