package gradehub.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.LoadShiftingBalancer;
import gradehub.NoOpBalancer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The encoding of frames, the errors for malformed input, and the main class with its standard streams. */
class BenchLinkTest {

    private static final String SETTINGS = """
            unknown.key=whatever
            instances=2
            lanes.count=1
            lanes.0.aimMs=1000.0
            lanes.0.hardLimitMs=4000.0
            lanes.0.idempotency=retryable
            lanes.0.worth=1.0
            limits.maxAttempts=3
            limits.cancel=true
            tickMs=5.0
            """;

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static byte[] run(byte[] input) throws IOException {
        return run(LoadShiftingBalancer::new, input);
    }

    private static byte[] run(BenchLink.Factory factory, byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BenchLink(factory, new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        byte[] input = HexFormat.of().parseHex("00000000206ec040" + "08000000" + "00000000" + "01000000");
        assertEquals("0400000001000000", HexFormat.of().formatHex(run(input)));
    }

    @Test
    void actionsAreWrittenByteForByte() throws IOException {
        BenchLink.Factory factory = (settings, seed, actions) -> new NoOpBalancer() {
            @Override
            public void timer(double nowMs, int token) {
                actions.send(0x5d3a91c4, 0x03124a07, 80);
                actions.cancel(7, 2);
                actions.refuse(7, 1.5);
                actions.probe(9);
                actions.fail(7);
                actions.log("two servers known");
                actions.closeIdle(9);
                actions.timer(500, 77);
                actions.subscribe(true);
                actions.fetchList();
            }
        };
        byte[] input = new BatchBuilder()
                .instance(3)
                .startInstance(1, SETTINGS)
                .put(7, 4, b -> b.putInt(77))
                .toBytes(1, 12);
        String expected = "0c000000" + "0d000300"
                + "0100c4913a5d0000000000005440074a1203"
                + "04000700000002"
                + "020007000000000000000000f83f"
                + "060009000000"
                + "030007000000"
                + "0900110074776f2073657276657273206b6e6f776e"
                + "070009000000"
                + "05000000000000407f404d000000"
                + "0b0001"
                + "0c00";
        String reply = HexFormat.of().formatHex(run(factory, input));
        assertEquals(expected, reply.substring(8));
        assertEquals(expected.length() / 2, Integer.reverseBytes(Integer.parseUnsignedInt(reply.substring(0, 8), 16)));
    }

    @Test
    void requestsAreSentToUpstreamsOfTheListLastStoredInAReusedSlot() throws IOException {
        byte[] input = new BatchBuilder()
                .instance(0)
                .startInstance(1, SETTINGS)
                .upstreamList(0, 41)
                .listEvent(2, 0)
                .instance(1)
                .startInstance(2, SETTINGS)
                .upstreamList(0, 42)
                .listEvent(2, 0)
                .instance(0)
                .request(1)
                .instance(1)
                .request(1)
                .toBytes(100, 1);
        String reply = HexFormat.of().formatHex(run(input));
        assertTrue(reply.contains("29000000") && reply.contains("2a000000"), reply);
        int first = reply.indexOf("010001000000");
        int second = reply.indexOf("010001000000", first + 1);
        assertTrue(reply.indexOf("29000000") < second && second < reply.lastIndexOf("2a000000"), reply);
    }

    @Test
    void theActionsOfAnInstanceDoNotDependOnOtherInstances() throws IOException {
        List<byte[]> together = new ArrayList<>();
        List<byte[]> alone = new ArrayList<>();
        for (int batch = 1; batch < 40; batch++) {
            BatchBuilder both = new BatchBuilder();
            BatchBuilder one = new BatchBuilder();
            for (int instance = 0; instance < 2; instance++) {
                for (BatchBuilder builder : instance == 0 ? List.of(both) : List.of(both, one)) {
                    builder.instance(instance);
                    if (batch == 1) {
                        builder.startInstance(instance, SETTINGS)
                                .upstreamList(1, 1, 2, 3)
                                .listEvent(2, 1);
                    } else {
                        builder.request(batch);
                    }
                }
            }
            together.add(both.toBytes(batch, batch));
            alone.add(one.toBytes(batch, batch));
        }
        List<String> amongOthers = actionsOf(1, run(join(together.toArray(new byte[0][]))));
        assertTrue(
                amongOthers.size() > 12,
                "requests are sent up to the initial concurrency limits: " + amongOthers.size());
        assertEquals(actionsOf(1, run(join(alone.toArray(new byte[0][])))), amongOthers);
    }

    /** Returns the action records of one instance, in hexadecimal. */
    private static List<String> actionsOf(int instance, byte[] replies) {
        int[] sizes = {0, 18, 14, 6, 7, 14, 6, 6, 0, 4, 4, 3, 2, 4};
        List<String> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(replies).order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            int end = in.getInt(in.position()) + 4 + in.position();
            int selectedInstance = -1;
            for (int offset = in.position() + 8; offset < end; ) {
                int code = in.getShort(offset);
                int size = sizes[code] + (code == 9 || code == 10 ? in.getShort(offset + 2) : 0);
                if (code == 13) {
                    selectedInstance = in.getShort(offset + 2);
                } else if (selectedInstance == instance) {
                    records.add(HexFormat.of().formatHex(replies, offset, offset + size));
                }
                offset += size;
            }
            in.position(end);
        }
        return records;
    }

    @Test
    void eventsAfterTheRemovalOfAnInstanceAreIgnored() throws IOException {
        byte[] input = new BatchBuilder()
                .instance(0)
                .startInstance(1, SETTINGS)
                .upstreamList(0, 41)
                .listEvent(2, 0)
                .removeInstance()
                .request(1)
                .toBytes(100, 1);
        assertEquals("0400000001000000", HexFormat.of().formatHex(run(input)));
    }

    @Test
    void anExceptionOfTheBalancerBecomesAPanicAction() throws IOException {
        BenchLink.Factory factory = (settings, seed, actions) -> new NoOpBalancer() {
            @Override
            public void timer(double nowMs, int token) {
                throw new IllegalStateException("boom");
            }
        };
        byte[] input = new BatchBuilder()
                .instance(3)
                .startInstance(1, SETTINGS)
                .put(7, 4, b -> b.putInt(1))
                .toBytes(1, 1);
        assertTrue(HexFormat.of().formatHex(run(factory, input)).endsWith("0d000300" + "0a000400" + "626f6f6d"));
    }

    @Test
    void errorsNameMissingOrUnreadableSettings() {
        assertMalformed(
                "record 1 at byte 24: settings: at least one request class is needed",
                new BatchBuilder().instance(0).startInstance(1, "").toBytes(1, 1));
        assertMalformed(
                "lanes.0.hardLimitMs is missing",
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, "lanes.count=1\n")
                        .toBytes(1, 1));
        assertMalformed(
                "lanes.count is not a number: one",
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, "lanes.count=one\n")
                        .toBytes(1, 1));
        assertMalformed(
                "is not a number: soon",
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, SETTINGS.replace("4000.0", "soon"))
                        .toBytes(1, 1));
    }

    @Test
    void unknownSettingsAreIgnored() throws IOException {
        byte[] plain = run(new BatchBuilder()
                .instance(0)
                .startInstance(1, SETTINGS)
                .upstreamList(0, 41)
                .listEvent(2, 0)
                .request(1)
                .toBytes(5, 1));
        assertArrayEquals(
                plain,
                run(new BatchBuilder()
                        .instance(0)
                        .startInstance(1, SETTINGS + "\nnever.heard=of\n")
                        .upstreamList(0, 41)
                        .listEvent(2, 0)
                        .request(1)
                        .toBytes(5, 1)));
    }

    @Test
    void errorsNameTheFaultAndPositionInMalformedFrames() {
        byte[] good = new BatchBuilder().instance(0).request(1).toBytes(1, 9);
        assertMalformed("header bytes", Arrays.copyOf(good, 7));
        assertMalformed("input ends", Arrays.copyOf(good, good.length - 3));
        byte[] shorter = Arrays.copyOf(good, good.length - 3);
        shorter[8] -= 3;
        assertMalformed("batch 9, record 1", shorter);
        byte[] huge = good.clone();
        huge[11] = 0x7f;
        assertMalformed("length field", huge);
        assertMalformed(
                "unknown event code 99",
                new BatchBuilder().instance(0).put(99, 0, b -> {}).toBytes(1, 1));
        assertMalformed("before any instance", new BatchBuilder().request(1).toBytes(1, 1));
        byte[] fewer = new BatchBuilder().instance(0).request(1).toBytes(1, 1);
        fewer[12] = 1;
        assertMalformed("follow the last record", fewer);
    }

    @Test
    void errorsNameUnknownClassesAndOutcomes() {
        assertMalformed(
                "unknown class 7",
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, SETTINGS)
                        .put(
                                3,
                                35,
                                b -> b.putInt(1)
                                        .put((byte) 0)
                                        .putLong(0)
                                        .putShort((short) 7)
                                        .putDouble(100)
                                        .putInt(0)
                                        .putDouble(0))
                        .toBytes(1, 1));
        assertMalformed(
                "outcome 9",
                new BatchBuilder().instance(0).attemptEnded(1, 1, 0, 9, true).toBytes(1, 1));
    }

    @Test
    void errorsNameTheFaultInMalformedLists() {
        assertMalformed(
                "list number 16",
                new BatchBuilder()
                        .instance(0)
                        .put(11, 5, b -> b.put((byte) 16).putInt(0))
                        .toBytes(1, 1));
        assertMalformed(
                "unknown list kind 4",
                new BatchBuilder().instance(0).listEvent(4, 0).toBytes(1, 1));
        assertMalformed(
                "unknown status 3",
                new BatchBuilder()
                        .instance(0)
                        .put(
                                11,
                                27,
                                b -> b.put((byte) 0)
                                        .putInt(1)
                                        .putDouble(0)
                                        .putShort((short) 0)
                                        .put((byte) 0)
                                        .putShort((short) 0)
                                        .putInt(1)
                                        .putFloat(1)
                                        .put((byte) 3))
                        .toBytes(1, 1));
        assertMalformed(
                "past the end",
                new BatchBuilder()
                        .instance(0)
                        .put(11, 5, b -> b.put((byte) 0).putInt(-1))
                        .toBytes(1, 1));
    }

    private static void assertMalformed(String part, byte[] input) {
        MalformedFrameException thrown = assertThrows(MalformedFrameException.class, () -> run(input));
        assertTrue(thrown.getMessage().contains(part), thrown.getMessage());
    }

    @Test
    void theMainClassReadsStandardInputAndWritesStandardOutput(@TempDir Path dir) throws Exception {
        byte[] good = join(
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, SETTINGS)
                        .upstreamList(0, 41)
                        .listEvent(2, 0)
                        .request(1)
                        .toBytes(5, 1),
                new BatchBuilder().toBytes(10, 2));
        Result complete = launch(dir, good);
        assertEquals(0, complete.exit);
        assertEquals("", complete.err);
        assertArrayEquals(run(good), complete.out);
        Result truncated = launch(dir, join(good, new byte[] {1, 2, 3}));
        assertTrue(truncated.exit != 0);
        assertArrayEquals(complete.out, truncated.out, "no output after the malformed frame");
        assertEquals("gradehub: input ends after 3 of 20 header bytes", truncated.err.trim());
        Result missingSetting = launch(
                dir,
                new BatchBuilder()
                        .instance(0)
                        .startInstance(1, "lanes.count=1\n")
                        .toBytes(1, 1));
        assertTrue(missingSetting.exit != 0);
        assertEquals(0, missingSetting.out.length);
        assertEquals(
                "gradehub: batch 1, record 1 at byte 24: settings: setting lanes.0.hardLimitMs is missing",
                missingSetting.err.trim());
    }

    private record Result(int exit, byte[] out, String err) {}

    private static Result launch(Path dir, byte[] input) throws Exception {
        Path in = Files.write(dir.resolve("in"), input);
        Path out = dir.resolve("out");
        Path err = dir.resolve("err");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        "target/classes",
                        "gradehub.Main",
                        "benchlink")
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return new Result(process.exitValue(), Files.readAllBytes(out), Files.readString(err));
    }
}
