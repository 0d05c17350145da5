package gradehub.node;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Limits what a channel reads in a turn of the event loop: all other connections wait until it has been processed. */
final class ShortReads {

    static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private ShortReads() {}

    /** Returns the allocator of one channel, which reads once in a turn. */
    static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1);
    }
}
