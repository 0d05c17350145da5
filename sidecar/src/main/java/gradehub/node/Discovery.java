package gradehub.node;

import com.fasterxml.jackson.databind.JsonNode;
import gradehub.Balancer.ListKind;
import gradehub.DiscoveryTimeouts;
import gradehub.node.MemberReader.Update;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Client of the discovery service, which provides the list of upstreams. In push mode a watch is kept open at all
 * times; in polling mode the balancer decides when to fetch. Each full list or delta is passed to the engine as soon as
 * it has been parsed.
 */
final class Discovery implements Engine.ListSource {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final String LIST_PATH = "/v1/endpoints";
    private static final long MAX_IDLE_MS = (long) DiscoveryTimeouts.IDLE_TIMEOUT_MS;
    private static final long INITIAL_RECONNECT_DELAY_MS = 50;
    private static final long MAX_RECONNECT_DELAY_MS = 1000;
    /**
     * Limits the reconnect delay to this fraction of the grace period for drains. The period starts when discovery
     * reports a drain, which may be the moment it recovers.
     */
    private static final double RECONNECT_DELAY_FRACTION = 0.5;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final MemberReader members;
    private final boolean polling;
    private final double connectTimeoutMs;
    private final long maxReconnectDelayMs;
    private final Supplier<ReadAheadChannel> sockets;
    private final Engine engine;
    private final RateLimitedLog closeLog = new RateLimitedLog();
    /** Revision of the latest list from this address, or -1. Another address may number its revisions differently. */
    private long revision = -1;

    /** Released when the first list arrives from discovery itself, as opposed to the configuration. */
    private final CountDownLatch firstList = new CountDownLatch(1);

    /**
     * When a list, or any data on a connection that had delivered one, was last received. Unset while {@link #heard} is
     * false.
     */
    private long lastHeardNanos;

    private boolean heard;
    private boolean listReceived;
    private boolean watching;
    private Call watch;
    private long reconnectDelayMs;

    Discovery(EventLoop loop, Config config, Supplier<ReadAheadChannel> sockets, Engine engine) {
        this.loop = loop;
        this.address = config.discovery();
        this.members = config.members();
        this.polling = config.settings().askForList();
        this.connectTimeoutMs = Math.min(config.connectTimeoutMs(), DiscoveryTimeouts.CONNECT_TIMEOUT_MS);
        this.maxReconnectDelayMs =
                (long) Math.min(MAX_RECONNECT_DELAY_MS, RECONNECT_DELAY_FRACTION * config.drainGraceMs());
        this.sockets = sockets;
        this.engine = engine;
    }

    /** Returns the delay before the watch would be reopened if it closed now. */
    long reconnectDelayMs() {
        return reconnectDelayMs;
    }

    /** Starts from the last known list in the configuration, which may be stale or missing. */
    void start(Config config) {
        if (config.known().isObject()) {
            try {
                Update known = members.read(config.known());
                revision = known.revision();
                apply(known, ListKind.CACHED);
            } catch (IllegalArgumentException e) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "ignoring the invalid list in the configuration: " + e.getMessage());
            }
        }
        if (!polling) {
            subscribe(true);
        }
    }

    /**
     * Blocks until discovery has sent a list or the timeout expires. Must not be called on the event loop. The list in
     * the configuration may name upstreams that were removed while the sidecar was down.
     */
    void awaitList(long timeoutMs) throws InterruptedException {
        if (firstList.getCount() == 0) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "waiting for the list from discovery");
        if (!firstList.await(timeoutMs, TimeUnit.MILLISECONDS)) {
            LOG.log(System.Logger.Level.WARNING, "discovery has not answered; starting with the last known list");
        }
    }

    boolean hasList() {
        return listReceived;
    }

    /**
     * Switches to another discovery address. An open watch is replaced by one that requests the full list; the current
     * list stays in use until that arrives. Data in flight from the old address is dropped, since it may be stale.
     */
    void changeAddress(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "discovery address changed to " + other);
        address = other;
        revision = -1;
        reconnectDelayMs = 0;
        if (watching) {
            subscribe(true);
        }
    }

    @Override
    public void subscribe(boolean on) {
        watching = on;
        if (watch != null) {
            Call old = watch;
            watch = null;
            old.close();
        }
        if (on) {
            watch = new Call(true);
        }
    }

    @Override
    public void fetch() {
        new Call(false);
    }

    private void apply(Update update, ListKind kind) {
        listReceived = true;
        double silentMs = heard ? (System.nanoTime() - lastHeardNanos) / 1e6 : Double.POSITIVE_INFINITY;
        engine.upstreams(kind, update, silentMs);
    }

    private void markHeard() {
        heard = true;
        lastHeardNanos = System.nanoTime();
    }

    private void onClosed(Call call) {
        if (call.watch && call != watch) {
            return; // replaced or unsubscribed
        }
        if (call.watch) {
            watch = null;
        }
        if (polling) {
            if (call.watch || !call.deliveredList) {
                engine.listFailed();
            }
        } else if (call.watch && watching) {
            loop.schedule(this::reopenWatch, reconnectDelayMs, TimeUnit.MILLISECONDS);
            reconnectDelayMs =
                    Math.min(maxReconnectDelayMs, Math.max(INITIAL_RECONNECT_DELAY_MS, 2 * reconnectDelayMs));
        }
    }

    private void reopenWatch() {
        if (watching && watch == null) {
            watch = new Call(true);
        }
    }

    /** One connection to discovery, used for a watch or for a single fetch of the full list. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watch;
        private final ListStream lists;
        private final InetSocketAddress target = address;
        private final ReadAheadChannel channel;
        private final Runnable closeTask =
                () -> onClosed(this); // created up front: linking the lambda on first use would delay requests
        private long heardNanos = System.nanoTime();
        private boolean deliveredList;
        /** Reason for the close, for the log. The default applies if discovery closes the connection. */
        private String closeReason = "closed by discovery";

        private Call(boolean watch) {
            this.watch = watch;
            this.lists = new ListStream(this::onList);
            this.channel = openSocket();
            if (channel == null) {
                loop.execute(closeTask); // deferred until the watch field refers to this call
                return;
            }
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> channel)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMs))
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline().addLast(new HttpClientCodec(), Call.this);
                        }
                    })
                    .connect(target);
            connecting.addListener(connected -> {
                if (connected.isSuccess()) {
                    sendRequest();
                } else {
                    closeReason = "connect failed: " + connected.cause().getMessage();
                }
            });
            channel.closeFuture().addListener(closed -> {
                closeLog.warn("connection to discovery at " + target + " closed: " + closeReason);
                closeTask.run();
            });
            checkSilence();
        }

        /** Returns a new socket, or null if none can be opened, for example for lack of file descriptors. */
        private ReadAheadChannel openSocket() {
            try {
                return sockets.get();
            } catch (ChannelException e) {
                closeLog.warn("cannot open a socket for discovery: " + e.getMessage());
                return null;
            }
        }

        private void close() {
            if (channel != null) {
                close("replaced or no longer needed");
            }
        }

        private void close(String why) {
            closeReason = why;
            channel.close();
        }

        private void sendRequest() {
            String from = revision >= 0 ? "&from=" + revision : "";
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    watch ? LIST_PATH + "?watch=1" + from : LIST_PATH,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, target.getAddress().getHostAddress() + ":" + target.getPort());
            channel.writeAndFlush(request);
        }

        private void checkSilence() {
            long silentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardNanos);
            if (silentMs >= MAX_IDLE_MS && channel.isOpenWithoutInput()) {
                close("no data for " + silentMs + " ms");
            } else if (channel.isOpen()) {
                loop.schedule(this::checkSilence, Math.max(1, MAX_IDLE_MS - silentMs), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            heardNanos = System.nanoTime();
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response
                            && !response.status().equals(HttpResponseStatus.OK)) {
                close(
                        message instanceof HttpResponse response
                                ? "status " + response.status()
                                : "invalid HTTP response");
                return;
            }
            if (message instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    reconnectDelayMs = 0; // discovery responds: reopen the watch without delay after the next close
                }
                read(content);
            }
        }

        private void read(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            try {
                if (!isStale()) {
                    lists.read(content.content());
                    if (deliveredList) {
                        markHeard();
                    }
                    if (last && !lists.isComplete()) {
                        throw new IOException("answer ends within a JSON object");
                    }
                }
            } catch (IOException | IllegalArgumentException e) {
                LOG.log(System.Logger.Level.WARNING, "invalid list from discovery: " + e.getMessage());
                reconnectDelayMs =
                        MAX_RECONNECT_DELAY_MS; // an immediate retry would most likely receive the same data again
                last = true;
            }
            if (last) {
                close("end of the answer");
            }
        }

        /** Whether its data may be stale: another watch has replaced it, or discovery has moved. */
        private boolean isStale() {
            return watch && this != Discovery.this.watch || !target.equals(address);
        }

        private void onList(JsonNode list) {
            Update update = members.read(list);
            deliveredList = true;
            revision = update.revision();
            apply(update, update.complete() ? ListKind.FULL : ListKind.DELTA);
            firstList.countDown();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            close(String.valueOf(cause));
        }
    }
}
