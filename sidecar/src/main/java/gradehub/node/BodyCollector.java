package gradehub.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;

/**
 * Collects the body of a message and passes it on as a single part. Parts are copied: one that is kept would keep the
 * whole read buffer that it came in, which may be several times as large. The memory of the message is reserved in a
 * budget; where that is used up, the body is dropped while the rest of the message is read.
 */
final class BodyCollector extends ChannelInboundHandlerAdapter {

    private static final byte[] EMPTY = {};
    /** Estimate of the memory that a message takes besides its headers and its body, with the state of its request. */
    private static final int MESSAGE_OVERHEAD_BYTES = 1024;

    private final MemoryBudget budget;
    private final int maxBytes;
    private MemoryBudget.Reservation reservation;
    private byte[] body = EMPTY;
    private int length;
    private boolean dropped;

    BodyCollector(MemoryBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.reservation = budget.reservation();
    }

    /** Whether the latest message found no memory, so that it has been passed on without its body. */
    boolean isDropped() {
        return dropped;
    }

    /** Hands the reservation of the latest message over to the caller, who has to release it. */
    MemoryBudget.Reservation takeReservation() {
        MemoryBudget.Reservation taken = reservation;
        reservation = budget.reservation();
        body = EMPTY;
        return taken;
    }

    /** Releases the memory of the message that is being received, or of the latest one if nobody took it. */
    void release() {
        reservation.release();
        body = EMPTY;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpMessage head) {
            begin(head);
        } else if (message instanceof HttpContent part && part.decoderResult().isSuccess()) {
            collect(context, part);
            return;
        }
        context.fireChannelRead(message);
    }

    private void begin(HttpMessage head) {
        release();
        length = 0;
        dropped = !reservation.tryGrow(headBytes(head.headers()));
    }

    private static long headBytes(HttpHeaders headers) {
        long bytes = MESSAGE_OVERHEAD_BYTES;
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = all.next();
            bytes += HeaderLimit.HEADER_OVERHEAD_BYTES
                    + header.getKey().length()
                    + header.getValue().length();
        }
        return bytes;
    }

    private void collect(ChannelHandlerContext context, HttpContent part) {
        int before = length;
        length += Math.min(part.content().readableBytes(), maxBytes + 1 - length);
        if (length <= maxBytes) {
            append(part.content(), before);
            if (part instanceof LastHttpContent) {
                context.fireChannelRead(part.replace(Unpooled.wrappedBuffer(body, 0, dropped ? 0 : length)));
            }
        } else if (before <= maxBytes) {
            release();
            context.fireExceptionCaught(new TooLongHttpContentException("the body is too long"));
        }
        part.release();
    }

    private void append(ByteBuf part, int offset) {
        if (!dropped && length > body.length) {
            grow();
        }
        if (!dropped) {
            part.getBytes(part.readerIndex(), body, offset, length - offset);
        }
    }

    /** Doubles the array, or drops the body if there is no memory for that. */
    private void grow() {
        int capacity = Math.min(maxBytes, Math.max(length, 2 * body.length));
        if (reservation.tryGrow(capacity - body.length)) {
            body = Arrays.copyOf(body, capacity);
        } else {
            release();
            dropped = true;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        release();
    }
}
