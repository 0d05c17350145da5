package gradehub.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/** Decodes an upstream's answers and tracks whether bytes remain after one. */
final class AnswerDecoder extends HttpResponseDecoder {

    private final HeaderLimit headers;
    private boolean partial;

    AnswerDecoder(MemoryBudget memory) {
        super(new HttpDecoderConfig());
        headers = new HeaderLimit(memory.reservation());
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headers.reset();
        return super.createMessage(initialLine);
    }

    /** Rejects an answer with a header line that has no colon directly after the name. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headers.add(line.length);
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("header line without a colon after the name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        super.decode(context, buffer, out);
        if (!out.isEmpty() && out.get(0) instanceof HttpMessage) {
            headers.release(); // the next handler counts the whole head
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        headers.release();
        super.handlerRemoved0(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        partial = true;
        super.channelRead(context, message);
    }

    /** Called after each complete answer; remaining bytes start another answer or are invalid. */
    void answerCompleted() {
        partial = actualReadableBytes() > 0;
    }

    /** Whether an answer has started and is not complete. */
    boolean isPartial() {
        return partial;
    }
}
