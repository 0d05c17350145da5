package gradehub.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/**
 * Reads JSON objects off a stream as they come, each told once its last byte is there: one may fill a line or, indented,
 * many. Fails with an {@link IOException} on what can be no object.
 */
final class ListStream {

    private static final int MOST_BYTES = 1 << 22;

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Consumer<JsonNode> whole;
    private TokenBuffer tokens;
    private int depth;
    private int bytes;
    private boolean blank = true;

    ListStream(Consumer<JsonNode> whole) {
        try {
            this.parser = new JsonFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // it reads nothing yet
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        this.whole = whole;
    }

    void read(ByteBuf input) throws IOException {
        while (input.isReadable()) {
            int line = input.bytesBefore((byte) '\n') + 1;
            boolean ends = line > 0;
            byte[] part = ByteBufUtil.getBytes(input.readSlice(ends ? line : input.readableBytes()));
            for (byte next : part) {
                blank &= Character.isWhitespace(next);
            }
            feeder.feedInput(part, 0, part.length);
            readTokens();
            bytes += part.length;
            if (depth > 0 && (bytes > MOST_BYTES || ends && blank)) {
                // An empty line comes between objects alone: the end of this one has been lost.
                throw new IOException("an object without an end");
            }
            blank |= ends;
        }
    }

    private void readTokens() throws IOException {
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            if (depth == 0) {
                if (token != JsonToken.START_OBJECT) {
                    throw new IOException("no object");
                }
                tokens = new TokenBuffer(Config.JSON, false);
                bytes = 0;
            }
            tokens.copyCurrentEvent(parser);
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                whole.accept(Config.JSON.readTree(tokens.asParser()));
            }
        }
    }

    /** Whether the stream ends between objects. */
    boolean isComplete() {
        return depth == 0;
    }
}
