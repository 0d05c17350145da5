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

/** Upstreams that answer what can't be used, or more than was asked for. */
class MalformedAnswerTest {

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** What follows an answer would be taken for the next one: a client would get what was made for another. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none", "HTTP/1.1 200 OK\r\nContent-", "\1\2\3 noise"
            })
    void whatFollowsAnAnswerEndsItsConnection(String behind) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one") + behind);
            assertEquals("one", client.read().body(), "the answer itself is good");
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            RawConnection next = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(2), next.read().header("X-Txn"));
            next.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
            assertTrue(up.awaitClose());
        }
    }

    /** The same where it comes while the connection is idle. */
    @Test
    void whatComesUnaskedEndsItsConnection() throws Exception {
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

    /** It is on its way while the next request is written: that one goes over another connection. */
    @Test
    void aSecondAnswerThatComesLateReachesNoOtherRequest() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            fixture.whileEventLoopBlocked(() -> {
                up.send(SidecarFixture.answer("200 OK", "one"));
                client.send(
                        SidecarFixture.postRequest(SidecarFixture.requestId(2), "x")); // read right behind the answer
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

    /** An unsafe request shows it at once: it may have run, so it fails, and the connection is not waited for. */
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
    void aSpoiltAnswerIsAFailedAttemptThatMayHaveRun(String answer) throws Exception {
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
    void aHeadWithoutEndIsNotReadOn() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppp\r\n".repeat(1000));
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void interimAnswersAheadAreSkipped() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
        }
    }

    /** Where the fault is the request's, another attempt would only be turned down again. */
    @Test
    void aRequestTurnedDownForItselfIsNotTriedAgain() throws Exception {
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

    /** A request that waits for an upstream goes to the first that is listed: it is known before the module asks. */
    @Test
    void aNewUpstreamIsSentToAtOnce() throws Exception {
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

    /** With a 0 or a NaN in place of what can't be read, an upstream would look idle. */
    @Test
    void aReportThatCannotBeReadIsNone() {
        LoadReportParser reports = new LoadReportParser(List.of("rps", "cpu"));
        assertArrayEquals(new double[] {2, 0.5}, reports.parse("cpu=0.5, rps=2"));
        for (String bad : List.of(
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
            assertEquals(0, reports.parse(bad).length, bad);
        }
    }
}
