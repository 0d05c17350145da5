package gradehub.node;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/** Input that has been read from a socket ahead of the event loop, until the channel delivers it. */
final class ReadAheadBuffer {

    /** Result of a socket read at the end of the stream; other negative results do not mean the end. */
    static final int END_OF_STREAM = -1;
    /** Result of a socket read when no input is available. */
    static final int NO_INPUT = 0;

    /** Limit of the buffer, larger than any request; beyond it, or beyond the memory, input stays in the socket. */
    private static final int MAX_BYTES = 1 << 17;

    private static final int INITIAL_BYTES = 1024;
    /** Limit of interrupted reads at a time; the event loop reads the rest. */
    private static final int MAX_INTERRUPTED_READS = 16;

    /** The memory of the buffer, or null where it is not counted. */
    private final MemoryBudget.Reservation memory;
    /** Null while nothing is held. */
    private ByteBuf buffer;

    ReadAheadBuffer(MemoryBudget.Reservation memory) {
        this.memory = memory;
    }

    boolean isEmpty() {
        return buffer == null;
    }

    int readableBytes() {
        return buffer == null ? 0 : buffer.readableBytes();
    }

    /** Reads the available input and returns the result of the last read, which is positive if not all of it fits. */
    int readFrom(SocketChannel socket) throws IOException {
        if (buffer == null) {
            // Array-backed: copying between buffers uses a method handle that would be compiled while requests wait.
            buffer = HeapAllocator.INSTANCE.heapBuffer(INITIAL_BYTES, MAX_BYTES);
        }
        try {
            int read = 1;
            int interrupted = 0;
            while ((read > 0 || read < END_OF_STREAM && interrupted++ < MAX_INTERRUPTED_READS) && makeWritable()) {
                read = buffer.writeBytes(socket, buffer.writableBytes());
            }
            return read;
        } finally {
            releaseIfEmpty();
        }
    }

    /** Doubles a full buffer; returns false if its limit or the memory does not allow that. */
    private boolean makeWritable() {
        if (buffer.isWritable()) {
            return true;
        }
        int capacity = Math.min(2 * buffer.capacity(), MAX_BYTES);
        int increment = capacity - buffer.capacity();
        if (increment == 0 || memory != null && !memory.tryGrow(increment)) {
            return false;
        }
        buffer.capacity(capacity);
        return true;
    }

    /** Moves as much as fits to {@code target} and returns the number of bytes. */
    int moveTo(ByteBuf target) {
        int bytes = Math.min(buffer.readableBytes(), target.writableBytes());
        target.writeBytes(buffer.array(), buffer.arrayOffset() + buffer.readerIndex(), bytes);
        buffer.skipBytes(bytes);
        releaseIfEmpty();
        return bytes;
    }

    private void releaseIfEmpty() {
        if (!buffer.isReadable()) {
            release();
        }
    }

    /** Drops what is held. */
    void release() {
        if (buffer == null) {
            return;
        }
        buffer.release();
        buffer = null;
        if (memory != null) {
            memory.release();
        }
    }
}
