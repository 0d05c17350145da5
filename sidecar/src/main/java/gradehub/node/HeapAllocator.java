package gradehub.node;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates every buffer on the heap. An allocation of direct memory that fails would block the event loop for half a
 * second first, and its limit is separate from the heap's.
 */
final class HeapAllocator extends AbstractByteBufAllocator {

    static final HeapAllocator INSTANCE = new HeapAllocator();

    private HeapAllocator() {
        super(false);
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
        return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
        return newHeapBuffer(initialCapacity, maxCapacity);
    }

    /** False, so that channels write heap buffers as they are instead of copying them to direct ones first. */
    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }
}
