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

/** An answer to a client that could not be written, on a connection that is open all the same. */
class FailedWriteTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int DESCRIPTORS = 1024;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(RawConnection.TIMEOUT_MS);
    }

    /** Puts a handler next to the socket of each client that is accepted. */
    private static final class Accepting extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            ((Channel) accepted).pipeline().addFirst(new FailsOnce());
            context.fireChannelRead(accepted);
        }
    }

    /** Fails the first write, as one for which there is no memory fails. */
    private static final class FailsOnce extends ChannelOutboundHandlerAdapter {
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

    /** Answers have no names: the client would take the second for the first. */
    @Test
    void theAnswerBehindOneThatWasNotWrittenIsNotWrittenEither() throws Exception {
        AtomicInteger checks = new AtomicInteger(); // the first is answered 200, the second 503
        Clock clock = new Clock();
        try (SidecarFixture fixture = new SidecarFixture()) {
            Config config = Config.parse(fixture.config(null));
            SocketBudget sockets = new SocketBudget(DESCRIPTORS);
            ClientServer server = new ClientServer(
                    loops.next(), clock, config.settings(), null, sockets, () -> checks.incrementAndGet() == 1);
            Channel listener =
                    server.bind(config.listen()).syncUninterruptibly().channel();
            loops.next()
                    .submit(() -> listener.pipeline().addFirst(new Accepting()))
                    .syncUninterruptibly();
            try (RawConnection client = RawConnection.connect((InetSocketAddress) listener.localAddress())) {
                client.send(READY + READY);
                assertThrows(IOException.class, client::read);
            }
        }
    }
}
