package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a failed write of an answer to a client on a connection that stays open. */
class FailedWriteTest {

    private static final String READY_REQUEST = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int DESCRIPTORS = 1024;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(RawConnection.TIMEOUT_MS);
    }

    /** Adds the failing handler at the socket end of each accepted channel's pipeline. */
    private static final class FaultInstaller extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            ((Channel) accepted).pipeline().addFirst(new FirstWriteFails());
            context.fireChannelRead(accepted);
        }
    }

    /** Fails the first write, as a lack of memory would. */
    private static final class FirstWriteFails extends ChannelOutboundHandlerAdapter {
        private boolean failed;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (failed) {
                context.write(message, promise);
                return;
            }
            failed = true;
            ReferenceCountUtil.release(message);
            promise.setFailure(new IllegalStateException("no memory"));
        }
    }

    /** Answers carry no identifier, so the client would take the second answer for the first. */
    @Test
    void doesNotWriteAnswerAfterFailedWrite() throws Exception {
        AtomicInteger readinessChecks = new AtomicInteger(); // the first is answered 200, the second 503
        Clock clock = new Clock();
        try (SidecarFixture fixture = new SidecarFixture()) {
            Config config = Config.parse(fixture.config(null));
            SocketBudget sockets = new SocketBudget(DESCRIPTORS);
            ClientServer server = new ClientServer(
                    loops.next(),
                    clock,
                    config.settings(),
                    null,
                    sockets,
                    new MemoryBudget(1 << 18),
                    () -> readinessChecks.incrementAndGet() == 1);
            Channel listener =
                    server.bind(config.listen()).syncUninterruptibly().channel();
            loops.next()
                    .submit(() -> listener.pipeline().addFirst(new FaultInstaller()))
                    .syncUninterruptibly();
            try (RawConnection client = RawConnection.connect((InetSocketAddress) listener.localAddress())) {
                client.send(READY_REQUEST + READY_REQUEST);
                assertThrows(IOException.class, client::read);
            }
        }
    }
}
