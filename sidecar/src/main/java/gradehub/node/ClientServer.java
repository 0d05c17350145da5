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
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** The application's side: accepts connections while there is room, and hands their requests to the engine. */
final class ClientServer {

    private static final String READY = "ready";
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final Engine engine;
    private final SocketBudget sockets;
    private final BooleanSupplier hasList;
    private final ClientConnections connections;
    private final EventLoopLag lag;
    /** The identifiers of the requests that have no answer yet. */
    private final Set<String> ids = new HashSet<>();

    private ClientListener listener;
    /** Since when each answer is the last on its connection; 0 where it is not. */
    private double closingSinceMs;

    ClientServer(
            EventLoop loop,
            Clock clock,
            Settings settings,
            Engine engine,
            SocketBudget sockets,
            BooleanSupplier hasList) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.engine = engine;
        this.sockets = sockets;
        this.hasList = hasList;
        lag = new EventLoopLag(loop, clock);
        connections = new ClientConnections(loop, clock, lag, sockets);
        sockets.onChange(this::acceptWhileThereIsRoom);
    }

    ChannelFuture bind(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> new ClientListener(sockets::remainingClientSockets))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptOnePerRead())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ClientConnection connection =
                                new ClientConnection((ReadAheadChannel) channel, ClientServer.this);
                        channel.pipeline()
                                .addLast(
                                        new RequestDecoder(connection),
                                        new HttpResponseEncoder(),
                                        new RequestValidator(),
                                        RequestValidator.joining(),
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

    /** Else more would be accepted than there is room for. */
    private static RecvByteBufAllocator acceptOnePerRead() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    }

    /** From now on each connection ends with its answer, and those that carry nothing end at once. */
    void endConnections() {
        if (!closing()) {
            closingSinceMs = clock.nowMs();
        }
        connections.all().forEach(connection -> connection.endIfIdle(clock.nowMs()));
    }

    /** By now new connections no longer come. Lets in those that wait; returns false where some may still wait. */
    boolean acceptPending() {
        return listener == null || listener.acceptAll(sockets.remainingClientSockets());
    }

    void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    int openConnections() {
        return connections.openConnections();
    }

    void closeOverdue() {
        connections.closeOverdue();
    }

    private void acceptWhileThereIsRoom() {
        if (listener != null) {
            listener.acceptWhileThereIsRoom();
        }
    }

    // ---- For the connections.

    double nowMs() {
        return clock.nowMs();
    }

    ClientConnections connections() {
        return connections;
    }

    boolean closing() {
        return closingSinceMs > 0;
    }

    double closingSinceMs() {
        return closingSinceMs;
    }

    boolean ready() {
        return hasList.getAsBoolean();
    }

    boolean isReadinessCheck(FullHttpRequest message) {
        return ClientRequest.firstPathSegment(message.uri()).equals(READY)
                && !message.headers().contains(ClientRequest.ID);
    }

    ClientRequest parse(FullHttpRequest message) throws RejectedException {
        ClientRequest request = ClientRequest.of(message, settings);
        if (!ids.add(request.id())) {
            // It is another's: were both sent on, neither client could tell which answer is its own.
            throw new RejectedException(HttpResponseStatus.CONFLICT, "a request of this identifier is open");
        }
        return request;
    }

    /** How long input that is read now may have waited for the event loop. */
    double lagMs() {
        return lag.lagMs();
    }

    /** Takes a request that may have waited for this long before it was read. */
    Engine.Exchange submit(ClientRequest request, double unreadMs, Engine.Client client) {
        return engine.request(request, unreadMs, client);
    }

    void clientClosed(Engine.Exchange exchange) {
        engine.clientLeft(exchange);
    }

    void releaseId(String id) {
        ids.remove(id);
    }
}
