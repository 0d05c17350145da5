package gradehub.node;

import gradehub.Balancer.Outcome;
import gradehub.node.Upstreams.Attempt;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A connection to an upstream that carries one attempt at a time. It is reused only if no bytes followed the last
 * answer, as they would be taken for the answer to the next request.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final String TURNED_AWAY = "X-Turned-Away";
    private static final String LOAD_REPORT = "X-Pressure";
    /** Client error codes that reflect the state of this upstream at this time rather than a fault of the request. */
    private static final Set<HttpResponseStatus> TRANSIENT_STATUSES =
            Set.of(HttpResponseStatus.REQUEST_TIMEOUT, HttpResponseStatus.TOO_MANY_REQUESTS);
    /** Maximum number of 1xx answers that are skipped before the final answer. */
    private static final int MAX_INTERIM_ANSWERS = 16;
    /** Time from the first to the last byte of an answer; an answer that takes longer fails the attempt. */
    private static final long ANSWER_TIMEOUT_MS = 500;
    /** Bytes that carry one byte of a body in a chunk of its own. */
    private static final int CHUNK_BYTES = 6;
    /** Reads after that timeout: those of the longest answer that may be unread, and one for the close that follows it. */
    private static final int FINAL_READS = 2 + CHUNK_BYTES * Upstreams.MAX_BODY_BYTES / ShortReads.MAX_READ_BYTES;

    final Upstreams.Pool pool;
    private final Upstreams upstreams;
    private final ReadAheadChannel channel;
    private final AnswerDecoder decoder;
    private final BodyCollector body;
    private Attempt attempt;
    private boolean retired;
    /** The outcome of the attempt, reported once the read completes and any bytes after the answer are known. */
    private Outcome outcome;

    private double[] report;
    private Answer answer;
    private boolean reusable;
    private int interimAnswers;
    private double idleSinceMs;

    UpstreamConnection(Upstreams upstreams, Upstreams.Pool pool, ReadAheadChannel channel) {
        this.upstreams = upstreams;
        this.pool = pool;
        this.channel = channel;
        this.decoder = new AnswerDecoder(upstreams.memory());
        this.body = new BodyCollector(upstreams.memory(), Upstreams.MAX_BODY_BYTES);
    }

    void open(EventLoop loop, InetSocketAddress address, int timeoutMs) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channelFactory(() -> channel)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true) // distinguishes a close by the upstream from a reset
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
                                .addLast(
                                        decoder, new HttpRequestEncoder(), body, aggregator(), UpstreamConnection.this);
                    }
                })
                .connect(address);
        channel.closeFuture().addListener(closed -> closed());
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                close();
            } else if (attempt != null && upstreams.confirmSend(attempt, pool)) {
                write();
            }
        });
    }

    /** Fails on an answer that declares or reaches too long a body without waiting for the rest. */
    private static HttpObjectAggregator aggregator() {
        return new HttpObjectAggregator(Upstreams.MAX_BODY_BYTES, true) {
            @Override
            protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
                context.fireExceptionCaught(new TooLongFrameException("answer exceeds the maximum body size"));
            }
        };
    }

    // ---- Attempts.

    void assign(Attempt next) {
        attempt = next;
        next.connection = this;
        reusable = false;
        outcome = null;
        interimAnswers = 0;
    }

    void write() {
        Attempt sent = attempt;
        sent.writeStarted = true;
        channel.writeAndFlush(message(sent)).addListener(written -> {
            if (written.isSuccess()) {
                sent.written = true;
            } else {
                close();
            }
        });
    }

    private FullHttpRequest message(Attempt sent) {
        ClientRequest request = sent.exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                request.headers().copy(),
                DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
        double remainingMs = sent.timeoutMs - (upstreams.nowMs() - sent.sentMs);
        message.headers().set(ClientRequest.REMAINING_MS, (long) Math.max(1, remainingMs));
        if (request.body().length > 0 || !request.method().name().equals("GET")) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        return message;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        decoder.answerCompleted();
        boolean skipped = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && response.decoderResult().isSuccess()
                && interimAnswers++ < MAX_INTERIM_ANSWERS;
        if (attempt == null || outcome != null) {
            failAnswer(); // unsolicited answer
        } else if (!skipped) {
            handleAnswer(response);
        }
    }

    private void handleAnswer(FullHttpResponse response) {
        if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
            close(); // closed within the head
            return;
        }
        if (response.decoderResult().isFailure()
                || !attempt.written
                || hasUnknownCoding(response)
                || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            failAnswer();
            return;
        }
        reusable = HttpUtil.isKeepAlive(response) && !channel.isInputShutdown();
        outcome = outcome(response);
        report = upstreams.reports().parse(response.headers().get(LOAD_REPORT));
        answer = outcome == Outcome.OK || outcome == Outcome.CANCELLED ? answer(response) : null;
    }

    /** The answer to the client. If its body found no memory, that is not the upstream's fault: it did answer. */
    private Answer answer(FullHttpResponse response) {
        if (body.isDropped()) {
            return Answer.failed();
        }
        return new Answer(
                response.status().code(),
                0,
                response.headers().get(HttpHeaderNames.CONTENT_TYPE),
                ByteBufUtil.getBytes(response.content()));
    }

    /** Whether a transfer coding other than chunked remains, which the codec has already decoded. */
    private static boolean hasUnknownCoding(FullHttpResponse response) {
        for (String coding : response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
            if (!HttpHeaderValues.IDENTITY.contentEqualsIgnoreCase(coding.trim())) {
                return true;
            }
        }
        return false;
    }

    /**
     * A 503 or 504 proves that the request did not run only if the upstream says so in a header. If the request itself
     * is at fault, no other upstream would serve it: the upstream's answer is passed on and not counted against it.
     */
    private static Outcome outcome(FullHttpResponse response) {
        HttpResponseStatus status = response.status();
        if (status.equals(HttpResponseStatus.OK)) {
            return Outcome.OK;
        }
        if (status.codeClass() == HttpStatusClass.CLIENT_ERROR && !TRANSIENT_STATUSES.contains(status)) {
            return Outcome.CANCELLED;
        }
        boolean turnedAway = "1".equals(response.headers().get(TURNED_AWAY))
                && (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT));
        return turnedAway ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** Marks the connection as not reusable and fails its attempt if that has no answer yet. */
    private void failAnswer() {
        reusable = false;
        if (attempt != null && outcome == null) {
            upstreams.end(
                    attempt, attempt.written ? Outcome.ERROR : Outcome.CONNECT_FAILED, LoadReportParser.NONE, null);
        } else if (attempt == null) {
            close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (decoder.isPartial() && (attempt == null || outcome != null)) {
            failAnswer();
        }
        if (outcome != null && attempt != null) {
            upstreams.end(attempt, outcome, report, answer);
        } else if (attempt != null && decoder.isPartial()) {
            failIncompleteLater(attempt, FINAL_READS, ANSWER_TIMEOUT_MS);
        }
        context.fireChannelReadComplete();
    }

    /** Allows further reads after the timeout, as bytes that came in time may be unread; a new timer runs after a read. */
    private void failIncompleteLater(Attempt started, int reads, long delayMs) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (started == attempt && reads > 0) {
                                failIncompleteLater(started, reads - 1, 0);
                            } else if (started == attempt) {
                                failAnswer();
                            }
                        },
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    // ---- Closing.

    /** Called at the end of the attempt: returns the connection to the pool if it is reusable, else closes it. */
    void release() {
        attempt = null;
        answer = null;
        body.release();
        if (reusable && outcome != null && !retired && channel.isActive()) {
            idleSinceMs = upstreams.nowMs();
            upstreams.addIdle(this);
        } else {
            close();
        }
    }

    /** Stops further use: an attempt that waits for the connection is not sent, one that was written may finish. */
    void retire() {
        retired = true;
        if (attempt == null) {
            close();
        } else if (!attempt.writeStarted) {
            upstreams.end(attempt, Outcome.CONNECT_FAILED, LoadReportParser.NONE, null);
        }
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    boolean isQuiet() {
        return channel.isOpenWithoutInput();
    }

    void close() {
        upstreams.closing(this);
        channel.close();
    }

    /**
     * Handles a close by the upstream. The decoder has processed it before, so an answer delimited by the close has
     * been passed on already. A reset, or a close by this side, does not raise this event.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            close();
        }
        super.userEventTriggered(context, event);
    }

    private void closed() {
        upstreams.closed(this);
        if (attempt != null && outcome != null) {
            upstreams.end(attempt, outcome, report, answer);
        } else if (attempt != null) {
            upstreams.end(
                    attempt, attempt.written ? Outcome.RESET : Outcome.CONNECT_FAILED, LoadReportParser.NONE, null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            failAnswer();
        } else if (!(cause instanceof IOException || cause instanceof PrematureChannelClosureException)) {
            LOG.log(System.Logger.Level.ERROR, "unexpected exception on an upstream connection; closing it", cause);
        }
        close(); // the outcome of its attempt depends on whether the last byte was written
    }
}
