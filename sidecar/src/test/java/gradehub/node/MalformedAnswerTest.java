package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that send malformed answers, or more answers than requests. */
class MalformedAnswerTest {

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Bytes after an answer would be taken for the next answer, and a client would get the answer to another request. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none", "HTTP/1.1 200 OK\r\nContent-", "\1\2\3 noise"
            })
    void bytesAfterAnswerCloseConnection(String trailing) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one") + trailing);
            assertEquals("one", client.read().body(), "the answer itself is valid");
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            RawConnection next = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(2), next.read().header("X-Txn"));
            next.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
            assertTrue(up.awaitClose());
        }
    }

    /** The same for bytes that arrive while the connection is idle. */
    @Test
    void unsolicitedBytesCloseIdleConnection() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            client.read();
            up.send("HTTP/1.1 200 OK\r\nCont");
            assertTrue(up.awaitClose());
        }
    }

    /** A duplicate answer arrives while the next request is sent: that request must use another connection. */
    @Test
    void lateDuplicateAnswerReachesNoOtherRequest() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            fixture.whileEventLoopBlocked(() -> {
                up.send(SidecarFixture.answer("200 OK", "one"));
                client.send(
                        SidecarFixture.postRequest(SidecarFixture.requestId(2), "x")); // read directly after the answer
            });
            assertEquals("one", client.read().body());
            fixture.awaitRequestsInFlight(1);
            up.send(SidecarFixture.answer("200 OK", "one"));
            RawConnection next = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(2), next.read().header("X-Txn"));
            next.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
            assertTrue(up.awaitClose());
        }
    }

    /** An unsafe request may have run, so it is not retried and fails without waiting for the connection to close. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
                "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nok",
                "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nX-Pa"
            })
    void malformedAnswerFailsAttemptThatMayHaveRun(String answer) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(answer);
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }

    @Test
    void oversizedHeadFailsAttempt() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppp\r\n".repeat(1000));
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void interimAnswersAreSkipped() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
        }
    }

    /** If the request itself is at fault, another attempt would be rejected again. */
    @Test
    void clientErrorIsNotRetried() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("400 Bad Request", "why"));
            RawConnection.Message answer = client.read();
            assertEquals(400, answer.status());
            assertEquals("why", answer.body());
        }
    }

    /** A waiting request goes to the first listed upstream, which is registered before the module learns of it. */
    @Test
    void newUpstreamReceivesWaitingRequest() throws Exception {
        try (SidecarFixture empty = new SidecarFixture();
                ServerSocket first = empty.listener()) {
            empty.start(SidecarFixture.list(
                    1, true, SidecarFixture.member("u0", SidecarFixture.address(first), "leaving")));
            RawConnection watch = empty.acceptWatch();
            try (RawConnection client = empty.client()) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
                client.send("GET /ready HTTP/1.1\r\n\r\n".repeat(1));
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(first), "active"))));
                RawConnection up = SidecarFixture.accept(first);
                up.read();
                up.send(SidecarFixture.answer("200 OK", "one"));
                assertEquals("one", client.read().body());
            }
        }
    }

    /** With a 0 or a NaN in place of an invalid value, an upstream would appear idle. */
    @Test
    void invalidReportIsIgnored() {
        LoadReportParser reports = new LoadReportParser(List.of("rps", "cpu"));
        assertArrayEquals(new double[] {2, 0.5}, reports.parse("cpu=0.5, rps=2"));
        for (String invalid : List.of(
                "",
                "=,=",
                "%%%",
                "{\"",
                "rps=2",
                "rps=2,cpu=",
                "rps=2,cpu=NaN",
                "rps=2,cpu=Infinity",
                "rps=-2,cpu=1",
                "rps=2,cpu=1e999",
                "rps=two,cpu=1")) {
            assertEquals(0, reports.parse(invalid).length, invalid);
        }
    }
}
