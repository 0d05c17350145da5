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
 * Incremental parser for a stream of JSON objects. Each object is delivered as soon as its last byte has arrived; it
 * may take one line or, if indented, several. Throws an {@link IOException} on input that cannot be a JSON object.
 */
final class ListStream {

    private static final int MAX_OBJECT_BYTES = 1 << 22;

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Consumer<JsonNode> onObject;
    private TokenBuffer tokens;
    private int depth;
    private int bytes;
    private boolean lineBlank = true;

    ListStream(Consumer<JsonNode> onObject) {
        try {
            this.parser = new JsonFactory().createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // not expected: nothing is read yet
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
        this.onObject = onObject;
    }

    void read(ByteBuf input) throws IOException {
        while (input.isReadable()) {
            int line = input.bytesBefore((byte) '\n') + 1;
            boolean endsLine = line > 0;
            byte[] part = ByteBufUtil.getBytes(input.readSlice(endsLine ? line : input.readableBytes()));
            for (byte next : part) {
                lineBlank &= Character.isWhitespace(next);
            }
            feeder.feedInput(part, 0, part.length);
            readTokens();
            bytes += part.length;
            if (depth > 0 && (bytes > MAX_OBJECT_BYTES || endsLine && lineBlank)) {
                // Empty lines occur only between objects, so the rest of this one has been lost.
                throw new IOException("JSON object is truncated or too long");
            }
            lineBlank |= endsLine;
        }
    }

    private void readTokens() throws IOException {
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            if (depth == 0) {
                if (token != JsonToken.START_OBJECT) {
                    throw new IOException("expected a JSON object");
                }
                tokens = new TokenBuffer(Config.JSON, false);
                bytes = 0;
            }
            tokens.copyCurrentEvent(parser);
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                onObject.accept(Config.JSON.readTree(tokens.asParser()));
            }
        }
    }

    /** Whether the stream ends between objects. */
    boolean isComplete() {
        return depth == 0;
    }
}
