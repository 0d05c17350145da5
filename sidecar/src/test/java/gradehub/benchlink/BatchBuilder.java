package gradehub.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Builds one batch of events as the simulator encodes it. */
final class BatchBuilder {
    private final ByteBuffer body = ByteBuffer.allocate(1 << 20).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    BatchBuilder instance(int instance) {
        return put(12, 2, b -> b.putShort((short) instance));
    }

    BatchBuilder startInstance(long seed, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return put(1, 12 + text.length, b -> b.putLong(seed).putInt(text.length).put(text));
    }

    BatchBuilder upstreamList(int slot, int... upstreams) {
        return put(11, 5 + 22 * upstreams.length, b -> {
            b.put((byte) slot).putInt(upstreams.length);
            for (int upstream : upstreams) {
                b.putDouble(0)
                        .putShort((short) 0)
                        .put((byte) 0)
                        .putShort((short) 0)
                        .putInt(upstream)
                        .putFloat(1)
                        .put((byte) 1);
            }
        });
    }

    BatchBuilder listEvent(int kind, int slot) {
        return put(2, 6, b -> b.put((byte) kind).putInt(1).put((byte) slot));
    }

    BatchBuilder request(int id) {
        return put(
                3,
                35,
                b -> b.putInt(id)
                        .put((byte) 0)
                        .putLong(0)
                        .putShort((short) 0)
                        .putDouble(4000)
                        .putInt(0)
                        .putDouble(0));
    }

    BatchBuilder attemptEnded(int id, int upstream, int attempt, int outcome, boolean done) {
        return put(
                5,
                20,
                b -> b.putInt(id)
                        .putDouble(20)
                        .put((byte) (done ? 1 : 0))
                        .putInt(upstream)
                        .put((byte) attempt)
                        .put((byte) outcome)
                        .put((byte) 0));
    }

    BatchBuilder removeInstance() {
        return put(10, 0, b -> {});
    }

    BatchBuilder put(int code, int fieldBytes, Consumer<ByteBuffer> fields) {
        int start = body.position();
        body.putShort((short) code);
        fields.accept(body);
        assertEquals(2 + fieldBytes, body.position() - start, "record " + code);
        records++;
        return this;
    }

    byte[] toBytes(double nowMs, int batchNumber) {
        ByteBuffer frame = ByteBuffer.allocate(20 + body.position()).order(ByteOrder.LITTLE_ENDIAN);
        frame.putDouble(nowMs).putInt(8 + body.position()).putInt(records).putInt(batchNumber);
        return frame.put(body.array(), 0, body.position()).array();
    }
}
