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

    /** Limit of a read while memory is scarce. */
    private static final int SCARCE_MEMORY_READ_BYTES = 2 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private static final RecvByteBufAllocator ADAPTIVE =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);

    private final Channel channel;
    /** The budget of what the channel reads, or null for a channel that the sidecar has opened. */
    private final MemoryBudget memory;

    /** Creates the allocator of one channel, with a budget if its peer has opened it. */
    ShortReads(Channel channel, MemoryBudget memory) {
        this.channel = channel;
        this.memory = memory;
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
            if (memory == null) {
                return super.guess();
            }
            int maxBytes = memory.isScarce() ? SCARCE_MEMORY_READ_BYTES : MAX_READ_BYTES;
            return Math.min(Math.min(super.guess(), maxBytes), budget.nextReadBytes());
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public void lastBytesRead(int bytes) {
            if (memory != null && bytes > 0) {
                budget.recordRead(bytes, (SingleThreadEventLoop) channel.eventLoop());
            }
            super.lastBytesRead(bytes);
        }
    }
}
