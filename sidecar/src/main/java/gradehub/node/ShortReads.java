package gradehub.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SingleThreadEventLoop;

/**
 * Limits what a channel reads in a turn of the event loop: all other connections wait until it has been processed. Each
 * channel is read once in a turn. Accepted ones, of which anybody may open hundreds, also share a budget; what comes on a
 * connection that the sidecar has opened answers a request of its own and does not wait for them.
 */
final class ShortReads implements RecvByteBufAllocator {

    static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private static final RecvByteBufAllocator ADAPTIVE =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);

    private final Channel channel;
    private final boolean accepted;

    /** Creates the allocator of one channel; {@code accepted} says that the peer has opened it. */
    ShortReads(Channel channel, boolean accepted) {
        this.channel = channel;
        this.accepted = accepted;
    }

    @Override
    public ShortReadHandle newHandle() {
        return new ShortReadHandle();
    }

    /** Decides on the size of the next read of the channel. */
    final class ShortReadHandle extends DelegatingHandle {

        private final TurnReadBudget budget = TurnReadBudget.current();

        private ShortReadHandle() {
            super(ADAPTIVE.newHandle());
        }

        @Override
        public int guess() {
            return accepted ? Math.min(super.guess(), budget.nextReadBytes()) : super.guess();
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public void lastBytesRead(int bytes) {
            if (accepted && bytes > 0) {
                budget.recordRead(bytes, (SingleThreadEventLoop) channel.eventLoop());
            }
            super.lastBytesRead(bytes);
        }
    }
}
