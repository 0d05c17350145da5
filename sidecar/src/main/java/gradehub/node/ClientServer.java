package gradehub.node;

import gradehub.Balancer.Settings;
import gradehub.node.ClientRequest.RejectedException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Server for the application's clients: accepts connections within the socket budget and submits requests to the engine. */
final class ClientServer implements ClientListener.ClientSockets {

    private static final String READY = "ready";
    private static final String UNKNOWN_ID = "unknown";
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final Engine engine;
    private final SocketBudget sockets;
    private final MemoryBudget memory;
    private final BooleanSupplier hasUpstreamList;
    private final ClientConnections connections;
    private final EventLoopLag lag;
    private final RequestIds ids = new RequestIds();

    private ClientListener listener;
    /** When the server began to close connections after their current answer; 0 before that. */
    private double closingSinceMs;
    /** When the last answer is due; known once the sidecar shuts down. */
    private double answerByMs = Double.POSITIVE_INFINITY;

    ClientServer(
            EventLoop loop,
            Clock clock,
            Settings settings,
            Engine engine,
            SocketBudget sockets,
            MemoryBudget memory,
            BooleanSupplier hasUpstreamList) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.engine = engine;
        this.sockets = sockets;
        this.memory = memory;
        this.hasUpstreamList = hasUpstreamList;
        lag = new EventLoopLag(loop, clock);
        connections = new ClientConnections(clock, sockets, memory);
        sockets.onChange(this::updateAccepting);
        loop.scheduleWithFixedDelay(
                () -> GuardedTask.run("checking client connections", this::checkConnections),
                EventLoopLag.PERIOD_MS,
                EventLoopLag.PERIOD_MS,
                TimeUnit.MILLISECONDS);
    }

    ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new ClientListener(this, memory, new BacklogWait(clock, lag)))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptOnePerRead())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        BodyCollector body = new BodyCollector(memory, Upstreams.MAX_BODY_BYTES);
                        ClientConnection connection =
                                new ClientConnection((ReadAheadChannel) channel, ClientServer.this, body);
                        channel.pipeline()
                                .addLast(
                                        connection.decoder(),
                                        new HttpResponseEncoder(),
                                        new RequestValidator(),
                                        body,
                                        RequestValidator.aggregator(),
                                        connection);
                    }
                })
                .bind(address);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                listener = (ClientListener) bound.channel();
            }
        });
        return bound;
    }

    /** Accepts one connection per read, since a batch could exceed the socket budget. */
    private static RecvByteBufAllocator acceptOnePerRead() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    /** Answers all requests by {@code timeMs}, whether they are complete or not. */
    void answerAllBy(double timeMs) {
        answerByMs = timeMs;
        engine.answerAllBy(timeMs);
    }

    /** Closes idle connections now, and every other connection after its current answer. */
    void endConnections() {
        if (!closing()) {
            closingSinceMs = clock.nowMs();
        }
        connections.all().forEach(connection -> connection.closeIfIdle(clock.nowMs()));
    }

    /**
     * Accepts the connections pending in the backlog once no new ones arrive. Returns false if some may still be pending.
     */
    boolean acceptPending() {
        return listener == null || listener.acceptPending(remaining());
    }

    void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    int openConnections() {
        return connections.openConnections();
    }

    /** Closes overdue connections and looks for clients that wait for one. Runs once in {@link EventLoopLag#PERIOD_MS}. */
    void checkConnections() {
        lag.sample();
        connections.closeOverdue();
        if (listener != null) {
            listener.checkBacklog(clock.nowMs());
        }
    }

    @Override
    public int remaining() {
        return sockets.remainingClientSockets();
    }

    @Override
    public boolean closeUnused() {
        return connections.closeUnused();
    }

    private void updateAccepting() {
        if (listener != null) {
            listener.updateAccepting();
        }
    }

    // ---- Called by the connections.

    double nowMs() {
        return clock.nowMs();
    }

    ClientConnections connections() {
        return connections;
    }

    MemoryBudget memory() {
        return memory;
    }

    boolean closing() {
        return closingSinceMs > 0;
    }

    double closingSinceMs() {
        return closingSinceMs;
    }

    double answerByMs() {
        return answerByMs;
    }

    boolean ready() {
        return hasUpstreamList.getAsBoolean();
    }

    boolean isReadinessCheck(FullHttpRequest message) {
        return ClientRequest.firstPathSegment(message.uri()).equals(READY)
                && !message.headers().contains(ClientRequest.ID);
    }

    /** Parses a request and reserves its identifier for {@code holder}. */
    ClientRequest open(FullHttpRequest message, RequestIds.Holder holder) throws RejectedException {
        ClientRequest request = ClientRequest.of(message, settings);
        ids.open(request.id(), holder, clock.nowMs());
        return request;
    }

    /** Records that a request is refused because there was no memory for its body. */
    void recordNoMemory(FullHttpRequest message) {
        recordRejected(RequestLog.Event.NO_MEMORY, knownId(message), HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Records why a request that was decoded is answered with an error instead of being submitted. */
    void recordRejected(FullHttpRequest message, RejectedException reason) {
        RequestLog.Event event = RequestLog.Event.REJECTED;
        if (reason instanceof RequestIds.IdentifierInUseException inUse) {
            event = inUse.open ? RequestLog.Event.IDENTIFIER_OPEN : RequestLog.Event.IDENTIFIER_USED;
        }
        recordRejected(event, knownId(message), reason.status);
    }

    private static String knownId(FullHttpRequest message) {
        String id = message.headers().get(ClientRequest.ID);
        return ClientRequest.isId(id) ? id : UNKNOWN_ID;
    }

    /** Records that a request which was not received whole is answered with this error, for this reason. */
    void recordIncomplete(Throwable cause, HttpResponseStatus status) {
        boolean noMemory = cause instanceof HeaderLimit.NoMemoryException;
        recordRejected(noMemory ? RequestLog.Event.NO_MEMORY : RequestLog.Event.REJECTED, UNKNOWN_ID, status);
    }

    private void recordRejected(RequestLog.Event event, String id, HttpResponseStatus status) {
        engine.requestLog().record(event, id, 0, "status " + status.code());
    }

    /** Upper bound on how long input read now has waited for the event loop. */
    double lagMs() {
        return lag.lagMs();
    }

    /** Submits a request that may have waited for {@code unreadMs} before it was read. */
    Engine.Exchange submit(ClientRequest request, double unreadMs, Engine.Client client) {
        return engine.request(request, unreadMs, client);
    }

    void clientClosed(Engine.Exchange exchange) {
        engine.clientDisconnected(exchange);
    }

    /** Releases the identifier of a request, unless it may have run and {@code mustNotRepeat}. */
    void closeId(String id, boolean mustNotRepeat) {
        ids.close(id, mustNotRepeat, clock.nowMs());
    }
}
