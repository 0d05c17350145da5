package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients of the packaged sidecar that send or read a little at a time must not use up its memory. */
class SlowRequestsIT {

    private static final int SLOW_CLIENTS = 150;
    private static final int PIECES = 40;
    private static final int PIECE_BYTES = 1024;
    private static final int PIPELINED_REQUESTS = 10_000;
    private static final int PIPELINED_BATCHES = 300;
    private static final int PEERS = 500;
    private static final int TINY_HEADERS = 4000;
    /** The sidecar knows the latency of a class from its answers; before, it refuses requests with little time left. */
    private static final int FIRST_REQUESTS = 20;
    /** A request is lost if its answer comes later than half a second after the client's waiting time. */
    private static final int ORDINARY_REMAINING_MS = 1600;

    private static final int LOST_AFTER_MS = ORDINARY_REMAINING_MS + 500;

    @TempDir
    private Path folder;

    private SidecarWithPeers started;
    private SidecarProcess sidecar;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        started = SidecarWithPeers.start(folder, Map.of());
        sidecar = started.process();
        try (RawConnection first = sidecar.client()) {
            for (int i = 0; i < FIRST_REQUESTS; i++) {
                assertServed(first);
            }
        }
    }

    @AfterEach
    void close() throws Exception {
        started.close();
    }

    private String slowRequestHead() {
        return SidecarFixture.postRequest(SidecarFixture.requestId(++requests), "")
                .replace("Content-Length: 0", "Content-Length: " + PIECES * PIECE_BYTES);
    }

    /** Guards against review case 1: pieces of bodies pinned their read buffers until no memory was left to read with. */
    @Test
    void longBodiesInSmallPiecesDoNotStopTheSidecar() throws Exception {
        List<RawConnection> slowClients = new ArrayList<>();
        try (RawConnection ordinary = sidecar.client()) {
            ordinary.setReadTimeoutMs(LOST_AFTER_MS);
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                slowClients.add(sidecar.client().send(slowRequestHead()));
            }
            for (int piece = 0; piece < PIECES; piece++) {
                for (RawConnection slow : slowClients) {
                    slow.send("b".repeat(PIECE_BYTES));
                }
                assertServed(ordinary); // the sidecar has read the pieces one by one by then
            }
            for (RawConnection slow : slowClients) {
                int status = slow.read().status(); // an overloaded machine may take longer than a request may
                assertTrue(status == 200 || status == 408, "status " + status);
            }
        } finally {
            for (RawConnection slow : slowClients) {
                slow.close();
            }
        }
        assertEquals(
                0,
                sidecar.log()
                        .lines()
                        .filter(line -> line.contains("OutOfMemoryError"))
                        .count());
    }

    /** Guards against a client that pipelines requests and reads no answer: its answers filled the heap. */
    @Test
    void answersThatAreNotReadDoNotFillTheMemory() throws Exception {
        byte[] requests =
                "GET /ready HTTP/1.1\r\n\r\n".repeat(PIPELINED_REQUESTS).getBytes(StandardCharsets.US_ASCII);
        try (Socket client = sidecar.socket()) {
            for (int i = 0; i < PIPELINED_BATCHES; i++) {
                client.getOutputStream().write(requests);
            }
        } catch (SocketException e) {
            // The sidecar closes the connection of a client that does not read.
        }
        try (RawConnection ordinary = sidecar.client()) {
            ordinary.setReadTimeoutMs(LOST_AFTER_MS);
            assertServed(ordinary);
        }
    }

    /** Guards against heads of thousands of tiny headers: each took a hundred times its bytes on the heap. */
    @Test
    void headsOfManyHeadersDoNotFillTheMemory() throws Exception {
        List<RawConnection> peers = new ArrayList<>();
        try (RawConnection ordinary = sidecar.client()) {
            ordinary.setReadTimeoutMs(LOST_AFTER_MS);
            for (int i = 0; i < PEERS; i++) {
                peers.add(sidecar.client().send("GET /window-read HTTP/1.1\r\n" + "a:\r\n".repeat(TINY_HEADERS)));
            }
            assertServed(ordinary);
        } finally {
            for (RawConnection peer : peers) {
                peer.close();
            }
        }
    }

    private void assertServed(RawConnection client) throws IOException {
        String request = SidecarFixture.getRequest(SidecarFixture.requestId(++requests), ORDINARY_REMAINING_MS);
        assertEquals(200, client.send(request).read().status());
    }
}
