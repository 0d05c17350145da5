package gradehub.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Strict request decoder: ambiguous input could smuggle a second request. Reports input to the connection, and holds what
 * follows a request while the connection is paused.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Notified of each piece of input, and after a read that leaves an incomplete request. */
    interface Input {
        void received(int bytes);

        void requestIncomplete();

        /** Called after a read that leaves an incomplete request for which there is no memory. */
        void memoryExhausted();

        /** Whether the connection reads no more requests, so that input is dropped without being decoded. */
        boolean isDiscarding();

        /** Whether the connection takes no further request for now; a pause begins only after a whole request. */
        boolean isPaused();
    }

    private final Input input;
    private final HeaderLimit headers;
    /** The memory of the input that is not decoded yet, because it is incomplete or held. */
    private final MemoryBudget.Reservation undecoded;

    private boolean holding;

    RequestDecoder(Input input, MemoryBudget memory) {
        super(new HttpDecoderConfig().setStrictLineParsing(true));
        this.input = input;
        headers = new HeaderLimit(memory.reservation());
        undecoded = memory.reservation();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        input.received(((ByteBuf) message).readableBytes());
        super.channelRead(context, message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        headers.reset();
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headers.add(line.length);
        return super.splitHeaderName(line, start, length);
    }

    /** Whether input is held that may contain whole requests. */
    boolean isHolding() {
        return holding && !input.isDiscarding();
    }

    /** Called for each message in turn, since the previous one may have stopped or paused the reading of requests. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (input.isDiscarding()) {
            buffer.skipBytes(buffer.readableBytes());
            holding = false;
            return;
        }
        holding = input.isPaused();
        if (!holding) {
            super.decode(context, buffer, out);
            if (!out.isEmpty() && out.get(0) instanceof HttpMessage) {
                headers.release(); // the next handler counts the whole head
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        boolean fits =
                undecoded.resize(actualReadableBytes() > 0 ? internalBuffer().capacity() : 0);
        if (isHolding()) {
            context.fireChannelReadComplete(); // the superclass would read more, as nothing has been decoded
            return;
        }
        if (actualReadableBytes() > 0) {
            input.requestIncomplete();
            if (!fits) {
                input.memoryExhausted();
            }
        }
        super.channelReadComplete(context);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        headers.release();
        undecoded.release();
        super.handlerRemoved0(context);
    }

    /** One of the two lengths is wrong, and a peer that trusts it would read the rest of the body as a request. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
