package gradehub.benchlink;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads batches from a stream, one after another, and decodes their fields in order. */
final class BatchReader {

    /** A longer batch is rejected as malformed instead of being read into memory. */
    static final int MAX_BYTES = 1 << 28;

    private static final int LENGTH_FIELD_END = 12;
    private static final int HEADER_BYTES = 20;

    private final InputStream in;
    private final ByteBuffer header = littleEndian(new byte[HEADER_BYTES]);
    private ByteBuffer body = littleEndian(new byte[1 << 16]);

    BatchReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next batch; returns false if the input ended after a whole batch. */
    boolean next() throws IOException {
        int headerBytes = in.readNBytes(header.array(), 0, HEADER_BYTES);
        if (headerBytes == 0) {
            return false;
        }
        if (headerBytes < HEADER_BYTES) {
            throw new MalformedFrameException(
                    "input ends after " + headerBytes + " of " + HEADER_BYTES + " header bytes");
        }
        long length = Integer.toUnsignedLong(header.getInt(8)) - (HEADER_BYTES - LENGTH_FIELD_END);
        if (length < 0 || length > MAX_BYTES) {
            throw new MalformedFrameException(
                    "batch " + batchNumber() + ": length field " + (length + 8) + " is outside 8 to " + MAX_BYTES);
        }
        if (length > body.capacity()) {
            body = littleEndian(new byte[(int) Math.min(MAX_BYTES, 2 * length)]);
        }
        body.clear().limit((int) length);
        int bodyBytes = in.readNBytes(body.array(), 0, (int) length);
        if (bodyBytes < length) {
            throw new MalformedFrameException(
                    "batch " + batchNumber() + ": input ends after " + bodyBytes + " of " + length + " bytes");
        }
        return true;
    }

    double nowMs() {
        return header.getDouble(0);
    }

    long recordCount() {
        return Integer.toUnsignedLong(header.getInt(12));
    }

    int batchNumber() {
        return header.getInt(16);
    }

    int position() {
        return HEADER_BYTES + body.position();
    }

    int remaining() {
        return body.remaining();
    }

    int u8() throws IOException {
        return require(1).get() & 0xff;
    }

    int u16() throws IOException {
        return require(2).getShort() & 0xffff;
    }

    int u32() throws IOException {
        return require(4).getInt();
    }

    long u64() throws IOException {
        return require(8).getLong();
    }

    double f32() throws IOException {
        return require(4).getFloat();
    }

    double f64() throws IOException {
        return require(8).getDouble();
    }

    /** Reads a count of items, each at least {@code itemBytes} long, that follow in this batch. */
    int count(int itemBytes) throws IOException {
        long count = Integer.toUnsignedLong(u32());
        if (count * itemBytes > remaining()) {
            throw new EOFException();
        }
        return (int) count;
    }

    byte[] bytes(int count) throws IOException {
        require(count);
        byte[] bytes = new byte[count];
        body.get(bytes);
        return bytes;
    }

    String text(int count) throws IOException {
        return new String(bytes(count), StandardCharsets.UTF_8);
    }

    private ByteBuffer require(int count) throws IOException {
        if (body.remaining() < count) {
            throw new EOFException();
        }
        return body;
    }

    private static ByteBuffer littleEndian(byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }
}
