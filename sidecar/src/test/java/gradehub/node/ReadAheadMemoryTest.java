package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Input that is read ahead, to see whether the client has left, counts in the memory budget of messages. */
class ReadAheadMemoryTest {

    private static final int INPUT_BYTES = 100 * 1024;
    /** What a message, or a buffer, may take although the budget is used up, and its initial size. */
    private static final int ALWAYS_ADMITTED_BYTES = 4096 + 1024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MemoryBudget memory = new MemoryBudget(1 << 18);
    private ServerSocketChannel listener;
    private Socket client;
    private ReadAheadChannel channel;

    /** Connects a client and pauses the reading of its requests, as while four of them are open. */
    @BeforeEach
    void open() throws Exception {
        listener = ServerSocketChannel.open().bind(new InetSocketAddress(RawConnection.loopback(), 0));
        client = new Socket(RawConnection.loopback(), listener.socket().getLocalPort());
        SocketChannel accepted = listener.accept();
        accepted.configureBlocking(false);
        channel = new ReadAheadChannel(null, accepted, memory.reservation(), 0);
        channel.config().setAutoRead(false);
        loop.register(channel).syncUninterruptibly();
    }

    @AfterEach
    void close() throws Exception {
        channel.close().syncUninterruptibly();
        client.close();
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T onEventLoop(Callable<T> action) throws Exception {
        return loop.submit(action).get();
    }

    /** Looks for a close until this many bytes are counted; returns what is counted in the end. */
    private long countedAfterLooking(int atLeast) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (onEventLoop(() -> !channel.isClosedByPeer() && memory.usedBytes() < atLeast)) {
            assertTrue(System.nanoTime() < deadlineNanos, "counted " + memory.usedBytes());
        }
        return onEventLoop(memory::usedBytes);
    }

    /** Guards against 128 KiB of input for each connection that no sum takes in. */
    @Test
    void inputThatIsReadAheadIsCounted() throws Exception {
        client.getOutputStream().write(new byte[INPUT_BYTES]);
        assertTrue(countedAfterLooking(INPUT_BYTES) >= INPUT_BYTES);
        channel.close().syncUninterruptibly();
        assertEquals(0, onEventLoop(memory::usedBytes));
    }

    /** Guards against reading ahead where the budget is used up. */
    @Test
    void nothingIsReadAheadBeyondTheBudget() throws Exception {
        long limitBytes = memory.limitBytes();
        MemoryBudget.Reservation others = memory.reservation();
        onEventLoop(() -> {
            others.grow(limitBytes);
            return null;
        });
        client.getOutputStream().write(new byte[INPUT_BYTES]);
        client.shutdownOutput();
        assertFalse(onEventLoop(channel::isClosedByPeer), "the close lies behind input that is not read");
        assertEquals(ReadAheadChannel.PeerState.UNKNOWN, onEventLoop(channel::peerState));
        assertTrue(onEventLoop(memory::usedBytes) <= limitBytes + ALWAYS_ADMITTED_BYTES);
        onEventLoop(() -> {
            others.release();
            return null;
        });
        assertTrue(countedAfterLooking(INPUT_BYTES) >= INPUT_BYTES);
        assertTrue(onEventLoop(channel::isClosedByPeer), "with memory the close is seen");
    }
}
