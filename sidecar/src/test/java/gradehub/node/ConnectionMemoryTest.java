package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What connections keep on the heap is counted: by the budget of messages, or in the allowance for each connection. */
class ConnectionMemoryTest {

    private static final int CONNECTIONS = 200;
    private static final int FIELDS = 90;
    private static final int BODY_BYTES = 48 * 1024;
    private static final int LONG_FIELD_BYTES = 7000;
    private static final int PIPELINED = 40;
    /** Turns of the event loop in which all that was sent is read: each reads at least some 64 KB in all. */
    private static final int TURNS = 1000;

    /** What a client has sent on its connection, which stays open. */
    private enum Input {
        NOTHING(""),
        PART_OF_A_LINE("POST /event-submit HT"),
        SHORT_FIELDS("POST /event-submit HTTP/1.1\r\n" + "a:\r\n".repeat(FIELDS)),
        LONG_FIELD("POST /event-submit HTTP/1.1\r\na:" + "v".repeat(LONG_FIELD_BYTES)),
        HALF_A_BODY("POST /event-submit HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + "b".repeat(BODY_BYTES)),
        TINY_CHUNKS("POST /event-submit HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nb\r\n".repeat(FIELDS)),
        /** Held undecoded, as four requests wait for their answers. */
        PIPELINED_REQUESTS("");

        private final String text;

        Input(String text) {
            this.text = text;
        }
    }

    private final List<SocketChannel> clients = new ArrayList<>();
    private SidecarFixture fixture;
    private StubServer hanging;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        hanging = StubServer.hanging(RawConnection.TIMEOUT_MS);
        fixture.start(SidecarFixture.listOf(hanging.address()));
    }

    @AfterEach
    void close() throws Exception {
        for (SocketChannel client : clients) {
            client.close();
        }
        fixture.close();
        hanging.close();
    }

    private String text(Input input) {
        if (input != Input.PIPELINED_REQUESTS) {
            return input.text;
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            text.append(SidecarFixture.getRequest(SidecarFixture.requestId(++requests)));
        }
        return text.toString();
    }

    private void connect(Input input) throws Exception {
        SocketChannel client =
                SocketChannel.open((InetSocketAddress) fixture.sidecar().address());
        clients.add(client);
        ByteBuffer bytes = ByteBuffer.wrap(text(input).getBytes(StandardCharsets.US_ASCII));
        while (bytes.hasRemaining()) {
            client.write(bytes);
        }
    }

    private void awaitAllRead(int connections) throws Exception {
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == connections);
        for (int turn = 0; turn < TURNS; turn++) {
            fixture.sidecar().loop().submit(() -> {}).get();
        }
    }

    private long countedBytes() throws Exception {
        return fixture.sidecar()
                .loop()
                .submit(fixture.sidecar().memory()::usedBytes)
                .get();
    }

    private static long heapBytes() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Guards against report 405e31: incomplete heads and input that is held undecoded were counted nowhere. */
    @ParameterizedTest
    @EnumSource
    void connectionKeepsNoMoreThanIsCounted(Input input) throws Exception {
        connect(input); // loads what the first one needs
        awaitAllRead(1);
        long heapBefore = heapBytes();
        long countedBefore = countedBytes();
        for (int i = 0; i < CONNECTIONS; i++) {
            connect(input);
        }
        awaitAllRead(CONNECTIONS + 1);
        long counted = countedBytes() - countedBefore;
        long held = heapBytes() - heapBefore;
        assertEquals(CONNECTIONS + 1, fixture.sidecar().clients(), "a connection has ended");
        String figures = input + ": " + held / CONNECTIONS + " bytes each, " + counted / CONNECTIONS + " counted";
        System.out.println(figures);
        assertTrue(held <= counted + (long) CONNECTIONS * ProcessMemory.CONNECTION_BYTES, figures);
    }

    /** Guards against counts that stay after the connections have ended. */
    @Test
    void nothingIsCountedOnceTheConnectionsHaveEnded() throws Exception {
        for (Input input : Input.values()) {
            connect(input);
        }
        awaitAllRead(Input.values().length);
        assertTrue(countedBytes() > 0);
        for (SocketChannel client : clients) {
            client.close();
        }
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 0);
        hanging.close();
        fixture.awaitOnEventLoop(() -> fixture.sidecar().memory().usedBytes() == 0);
    }
}
