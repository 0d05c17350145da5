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
 * Client of the discovery service, which provides the list of upstreams. It keeps a watch open. A watch that closes or
 * falls silent is followed by another one: after a delay in push mode, in polling mode when the balancer says so. Each
 * full list or delta is passed to the engine as soon as it has been parsed.
 */
final class Discovery implements Engine.ListSource {

    private static final System.Logger LOG = System.getLogger("gradehub");
    private static final String LIST_PATH = "/v1/endpoints";
    private static final long IDLE_TIMEOUT_MS = (long) DiscoveryTimeouts.IDLE_TIMEOUT_MS;
    private static final long INITIAL_RECONNECT_DELAY_MS = 50;
    private static final long MAX_RECONNECT_DELAY_MS = 1000;
    /**
     * Limits the reconnect delay to this fraction of the grace period for drains. The period starts when discovery
     * reports a drain, which may be as soon as discovery recovers from an outage.
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
    /** Revision of the latest list from this address, or -1. Each address may number its revisions differently. */
    private long revision = -1;

    /** Released when discovery sends its first list; the list in the configuration does not count. */
    private final CountDownLatch firstList = new CountDownLatch(1);

    /**
     * When a list, or any data on a connection that had delivered one, was last received. Unset while {@link #received}
     * is false.
     */
    private long lastReceivedNanos;

    private boolean received;
    private boolean listApplied;
    private boolean watching;
    private ListRequest watch;
    /**
     * A watch, or an unanswered request for one, that has been silent for too long. It stays open until its replacement
     * receives something: discovery may only be slow, and what it writes to a closed connection would be missed.
     */
    private ListRequest silentWatch;

    private long reconnectDelayMs;

    Discovery(EventLoop loop, Config config, Supplier<ReadAheadChannel> sockets, Engine engine) {
        this.loop = loop;
        this.address = config.discovery();
        this.members = config.members();
        this.polling = config.settings().pollsList();
        this.connectTimeoutMs = Math.min(config.connectTimeoutMs(), DiscoveryTimeouts.CONNECT_TIMEOUT_MS);
        this.maxReconnectDelayMs =
                (long) Math.min(MAX_RECONNECT_DELAY_MS, RECONNECT_DELAY_FRACTION * config.drainGraceMs());
        this.sockets = sockets;
        this.engine = engine;
    }

    /** Returns the delay after which the watch would be reopened if it closed now. */
    long reconnectDelayMs() {
        return reconnectDelayMs;
    }

    /** Whether a watch is open that has been silent for too long. */
    boolean isWatchSilent() {
        return silentWatch != null;
    }

    /** Applies the last known list from the configuration, if any; it may be stale. In push mode, opens the watch. */
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

    /** Closes all watches and opens a new one. */
    void replaceWatch() {
        closeWatches();
        subscribe(true);
    }

    private void closeWatches() {
        ListRequest closed = watch;
        watch = null;
        if (closed != null) {
            closed.close();
        }
        closeSilentWatch();
    }

    private void closeSilentWatch() {
        ListRequest closed = silentWatch;
        silentWatch = null;
        if (closed != null) {
            closed.close();
        }
    }

    /**
     * Blocks until discovery has sent a list or the timeout expires: the list in the configuration may name upstreams
     * that were removed while the sidecar was down. Must not be called on the event loop.
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

    /** Whether a list has been applied, from discovery or from the configuration. */
    boolean hasList() {
        return listApplied;
    }

    /**
     * Switches to another discovery address. An open watch is replaced by one that requests the full list; the current
     * list stays in use until the new one arrives. Data in flight from the old address may be stale and is discarded.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "discovery address changed to " + newAddress);
        address = newAddress;
        revision = -1;
        reconnectDelayMs = 0;
        if (watching) {
            replaceWatch();
        }
    }

    /** Opens a watch unless there is one, or closes it. */
    @Override
    public void subscribe(boolean on) {
        watching = on;
        if (!on) {
            closeWatches();
        } else if (watch == null) {
            watch = new ListRequest(true);
        }
    }

    @Override
    public void fetch() {
        new ListRequest(false);
    }

    private void apply(Update update, ListKind kind) {
        listApplied = true;
        double silentMs = received ? (System.nanoTime() - lastReceivedNanos) / 1e6 : Double.POSITIVE_INFINITY;
        engine.upstreams(kind, update, silentMs);
    }

    private void recordReceipt() {
        received = true;
        lastReceivedNanos = System.nanoTime();
    }

    private void onClosed(ListRequest closed) {
        if (closed == silentWatch) {
            silentWatch = null; // its replacement is open or will be opened
        } else if (closed.watch && closed == watch) {
            watch = null;
            openNextWatch();
        } else if (!closed.watch && polling && !closed.deliveredList) {
            engine.listFailed();
        }
    }

    private void onSilent(ListRequest silent) {
        closeSilentWatch();
        silentWatch = silent;
        watch = null;
        openNextWatch();
    }

    private void onInput(ListRequest receiver) {
        if (receiver == watch && silentWatch != null && silentWatch.channel.isOpenWithoutInput()) {
            closeSilentWatch();
        } else if (receiver == silentWatch && watch == null) {
            silentWatch = null;
            watch = receiver;
            watch.checkIdleTimeout();
        }
    }

    /** Opens a new watch after a delay. In polling mode the module decides when. */
    private void openNextWatch() {
        if (polling) {
            engine.listFailed();
        } else if (watching) {
            loop.schedule(this::reopenWatch, reconnectDelayMs, TimeUnit.MILLISECONDS);
            reconnectDelayMs =
                    Math.min(maxReconnectDelayMs, Math.max(INITIAL_RECONNECT_DELAY_MS, 2 * reconnectDelayMs));
        }
    }

    private void reopenWatch() {
        if (watching && watch == null) {
            watch = new ListRequest(true);
        }
    }

    /** A request to discovery on a connection of its own: a watch or a single fetch of the full list. */
    private final class ListRequest extends SimpleChannelInboundHandler<HttpObject> {
        private final boolean watch;
        private final ListStream lists;
        private final InetSocketAddress target = address;
        private final ReadAheadChannel channel;
        private final Runnable closeTask =
                () -> onClosed(this); // created up front: linking the lambda on first use would delay requests
        private long lastInputNanos = System.nanoTime();
        private boolean deliveredList;
        /** Reason for the close, for the log. The initial value applies if discovery closes the connection. */
        private String closeReason = "closed by peer";

        private ListRequest(boolean watch) {
            this.watch = watch;
            this.lists = new ListStream(this::onList);
            this.channel = openSocket();
            if (channel == null) {
                loop.execute(closeTask); // deferred until the outer watch field refers to this request
                return;
            }
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channelFactory(() -> channel)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMs))
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel created) {
                            created.pipeline().addLast(new HttpClientCodec(), ListRequest.this);
                        }
                    })
                    .connect(target);
            connecting.addListener(connected -> {
                if (connected.isSuccess()) {
                    send();
                } else {
                    closeReason = "connect failed: " + connected.cause().getMessage();
                }
            });
            channel.closeFuture().addListener(closed -> {
                closeLog.warn("connection to discovery at " + target + " closed: " + closeReason);
                closeTask.run();
            });
            checkIdleTimeout();
        }

        /** Returns a new socket, or null if none can be opened, for example for lack of file descriptors. */
        private ReadAheadChannel openSocket() {
            try {
                return sockets.get();
            } catch (ChannelException e) {
                closeLog.warn("can't open a socket for discovery: " + e.getMessage());
                return null;
            }
        }

        private void close() {
            if (channel != null) {
                close("replaced or no longer needed");
            }
        }

        private void close(String reason) {
            closeReason = reason;
            channel.close();
        }

        private void send() {
            String from = revision >= 0 ? "&from=" + revision : "";
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    watch ? LIST_PATH + "?watch=1" + from : LIST_PATH,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, target.getAddress().getHostAddress() + ":" + target.getPort());
            channel.writeAndFlush(request);
        }

        private void checkIdleTimeout() {
            long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastInputNanos);
            if (idleMs >= IDLE_TIMEOUT_MS && channel.isOpenWithoutInput()) {
                onIdleTimeout(idleMs);
            } else if (channel.isOpen()) {
                loop.schedule(this::checkIdleTimeout, Math.max(1, IDLE_TIMEOUT_MS - idleMs), TimeUnit.MILLISECONDS);
            }
        }

        private void onIdleTimeout(long idleMs) {
            closeReason = "no data for " + idleMs + " ms";
            if (this == Discovery.this.watch) {
                closeLog.warn("connection to discovery at " + target + " is silent: " + closeReason);
                onSilent(this);
            } else {
                close(closeReason);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            lastInputNanos = System.nanoTime();
            if (message.decoderResult().isFailure()
                    || message instanceof HttpResponse response
                            && !response.status().equals(HttpResponseStatus.OK)) {
                close(
                        message instanceof HttpResponse response
                                ? "status " + response.status()
                                : "malformed HTTP response");
                return;
            }
            if (message instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    reconnectDelayMs = 0; // discovery answers: the watch is reopened at once after the next close
                }
                boolean received = content.content().isReadable();
                read(content);
                if (received && channel.isOpen()) {
                    onInput(this);
                }
            }
        }

        private void read(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            try {
                if (!isStale()) {
                    lists.read(content.content());
                    if (deliveredList) {
                        recordReceipt();
                    }
                    if (last && !lists.isComplete()) {
                        throw new IOException("the answer ends in the middle of a JSON object");
                    }
                }
            } catch (IOException | IllegalArgumentException e) {
                LOG.log(System.Logger.Level.WARNING, "invalid list from discovery: " + e.getMessage());
                reconnectDelayMs = MAX_RECONNECT_DELAY_MS; // an early retry would most likely receive the same data
                last = true;
            }
            if (last) {
                close("end of the answer");
            }
        }

        /** Whether its data may be stale: another watch has replaced it, or the discovery address has changed. */
        private boolean isStale() {
            boolean replaced = watch && this != Discovery.this.watch && this != silentWatch;
            return replaced || !target.equals(address);
        }

        private void onList(JsonNode list) {
            Update update = members.read(list);
            deliveredList = true;
            if (silentWatch != null && update.revision() < revision) {
                return; // the other watch has delivered a later list
            }
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
