package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that send an invalid or incomplete request, or nothing, get an error or a close; nothing is forwarded. */
class InvalidRequestTest {

    private static final int PIPELINED_REQUESTS = 20;
    private static final int MAX_OPEN_REQUESTS = 4;

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private String list;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        list = SidecarFixture.listOf(SidecarFixture.address(upstream));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** A request of ambiguous length could smuggle a second one, so the connection closes after the error. */
    @ParameterizedTest
    @CsvSource({
        "Transfer-Encoding: chunked,400",
        "Content-Length: 9,400",
        "Transfer-Encoding: gzip,400",
        "Transfer-Encoding : chunked,400",
        "no colon,400",
        "X-Txn: 00000000000000ff,400",
        "X-Lane: window-read,400",
        "X-Remaining-Ms: 5,400",
        "Expect: unsupported,417"
    })
    void ambiguousRequestIsNotForwarded(String header, int status) throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            client.send(
                    SidecarFixture.postRequest(SidecarFixture.requestId(1), "x").replace("Host:", header + "\r\nHost:")
                            + SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(status, client.read().status());
            assertTrue(client.awaitClose());
        }
        assertOnlyValidRequestIsForwarded();
    }

    @ParameterizedTest
    @CsvSource({
        "X-Txn: 1",
        "X-Txn: zzzzzzzzzzzzzzzz",
        "X-Remaining-Ms: -5",
        "X-Remaining-Ms: ''",
        "Content-Length: -4",
        "Content-Length: ten"
    })
    void requestWithInvalidNumberIsNotForwarded(String header) throws Exception {
        fixture.start(list);
        String name = header.substring(0, header.indexOf(':'));
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                    .replaceAll(name + ": [^\r]*", header.replace("''", "")));
            assertEquals(400, client.read().status());
        }
        assertOnlyValidRequestIsForwarded();
    }

    private void assertOnlyValidRequestIsForwarded() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(7)));
            assertEquals(
                    SidecarFixture.requestId(7),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "the first request that is forwarded");
        }
    }

    /** If two open requests had the same identifier, their clients could not tell the answers apart. */
    @Test
    void identifierOfAnOpenRequestIsRejected() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client();
                RawConnection other = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            assertEquals(
                    409,
                    other.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)))
                            .read()
                            .status());
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
        }
    }

    /** The error for an oversized body follows the previous request's answer and is not lost to a connection reset. */
    @Test
    void errorIsSentInOrderAndSurvivesTheClose() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    + SidecarFixture.postRequest(SidecarFixture.requestId(2), "x")
                            .replace("Length: 1", "Length: 60000000")
                    + "b".repeat(100_000));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
            assertEquals(413, client.read().status());
            assertTrue(client.awaitClose());
        }
    }

    @Test
    void oversizedChunkedBodyIsRejected() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "")
                            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
                    + "11000\r\n" + "b".repeat(0x11000) + "\r\n");
            assertEquals(413, client.read().status());
        }
    }

    /** Guards against heads of thousands of tiny headers, which take far more memory than their bytes. */
    @Test
    void tooManyHeadersAreRejected() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            client.send("GET /window-read HTTP/1.1\r\n" + "a:\r\n".repeat(101));
            assertEquals(431, client.read().status());
            assertTrue(client.awaitClose());
        }
    }

    @Test
    void incompleteRequestTimesOut() throws Exception {
        fixture.start(list);
        try (RawConnection silent = fixture.client();
                RawConnection incompleteHeaders = fixture.client();
                RawConnection incompleteBody = fixture.client();
                RawConnection oversizedHeaders = fixture.client()) {
            incompleteHeaders.send("GET /window-read HTTP/1.1\r\nX-T");
            incompleteBody.send(
                    SidecarFixture.postRequest(SidecarFixture.requestId(1), "x").replace("Length: 1", "Length: 5"));
            oversizedHeaders.send("GET /window-read HTTP/1.1\r\n" + "X-Pad: pppppppp\r\n".repeat(1000));
            assertEquals(431, oversizedHeaders.read().status());
            assertTrue(silent.awaitClose());
            assertEquals(408, incompleteHeaders.read().status());
            assertEquals(408, incompleteBody.read().status());
            assertTrue(incompleteBody.awaitClose());
        }
    }

    /** Without a limit, hundreds of pipelined requests would be held in memory until each is processed. */
    @Test
    void pipelinedRequestsBeyondTheLimitWaitForTheirTurn() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                requests.append(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
            }
            client.send(requests.toString());
            fixture.awaitRequestsInFlight(MAX_OPEN_REQUESTS);
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                assertTrue(fixture.requestsInFlight() <= MAX_OPEN_REQUESTS);
                RawConnection up = SidecarFixture.accept(upstream);
                String id = up.read().header("X-Txn");
                up.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
                assertEquals(SidecarFixture.requestId(i), client.read().body());
            }
        }
    }

    /** Answering each of many rejected requests would keep the event loop from serving other clients. */
    @ParameterizedTest
    @CsvSource({"unheard-of,404", "window-read,405"})
    void repeatedRejectedRequestsGetOneAnswer(String path, int status) throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "")
                    .replace(SidecarFixture.UNSAFE_CLASS, path);
            client.send(request.repeat(200));
            RawConnection.Message answer = client.read();
            assertEquals(status, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertTrue(client.awaitClose());
        }
        assertOnlyValidRequestIsForwarded();
    }

    /** Clients that send one request and stay connected must not keep others out. */
    @Test
    void idleConnectionIsClosedWhenSocketsRunShort() throws Exception {
        fixture.start(list, SocketBudget.RESERVED_DESCRIPTORS + 8);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
            assertTrue(client.awaitClose());
        }
    }
}
