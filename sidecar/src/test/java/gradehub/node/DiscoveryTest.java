package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The whole sidecar's handling of discovery's lists, over loopback sockets. */
class DiscoveryTest {

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private RawConnection startWithOne() throws Exception {
        return fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)))
                .client();
    }

    @Test
    void readyOnceAListHasArrived() throws Exception {
        fixture.start(null);
        try (RawConnection client = fixture.client();
                RawConnection watch = fixture.acceptWatch()) {
            String ready = "GET /ready HTTP/1.1\r\n\r\n";
            assertEquals(503, client.send(ready).read().status());
            watch.send(SidecarFixture.chunk(SidecarFixture.list(
                    3, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
            int status = 503;
            for (int asked = 0; status == 503 && asked < 1_000_000; asked++) {
                status = client.send(ready).read().status();
            }
            assertEquals(200, status);
        }
    }

    /** A draining upstream gets no new requests, not even over an existing connection. */
    @Test
    void drainingUpstreamGetsNoNewRequests() throws Exception {
        try (RawConnection client = startWithOne();
                RawConnection watch = fixture.acceptWatch();
                ServerSocket other = fixture.listener()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            client.read();
            watch.send(SidecarFixture.chunk(""))
                    .send(SidecarFixture.chunk(SidecarFixture.list(
                            2,
                            false,
                            SidecarFixture.member("u1", SidecarFixture.address(upstream), "leaving"),
                            SidecarFixture.member("u2", SidecarFixture.address(other), "active"))));
            assertTrue(up.awaitClose(), "idle connection should close once the change has arrived");
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(other).read().header("X-Txn"));
        }
    }

    @Test
    void movedUpstreamIsReachedAtItsNewAddress() throws Exception {
        try (RawConnection client = startWithOne();
                RawConnection watch = fixture.acceptWatch();
                ServerSocket moved = fixture.listener()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            client.read();
            watch.send(SidecarFixture.chunk(SidecarFixture.list(
                    2, false, SidecarFixture.member("u1", SidecarFixture.address(moved), "active"))));
            assertTrue(up.awaitClose());
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(moved).read().header("X-Txn"));
        }
    }

    @Test
    void closedWatchIsReopenedFromTheLastRevision() throws Exception {
        fixture.start(
                SidecarFixture.list(7, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
        watch.send(SidecarFixture.watchAnswer(SidecarFixture.list(9, false)));
        watch.close();
        assertEquals(
                "GET /v1/endpoints?watch=1&from=9 HTTP/1.1",
                SidecarFixture.accept(fixture.discovery).read().startLine());
    }

    @Test
    void invalidListIsIgnoredAndTheWatchReopened() throws Exception {
        fixture.start(
                SidecarFixture.list(7, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
        fixture.acceptWatch().send(SidecarFixture.chunk("{\"revision\":8,\"members\":[{\"id\":\"u1\"}]}"));
        assertEquals(
                "GET /v1/endpoints?watch=1&from=7 HTTP/1.1",
                SidecarFixture.accept(fixture.discovery).read().startLine());
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            assertEquals(
                    SidecarFixture.requestId(1),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "previous list should stay in use");
        }
    }
}
