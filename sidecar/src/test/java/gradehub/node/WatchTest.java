package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Watches on the list that come in odd forms, fall silent, break or are late. */
class WatchTest {

    private SidecarFixture fixture;
    private ServerSocket first;
    private ServerSocket second;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        first = fixture.listener();
        second = fixture.listener();
        fixture.start(
                SidecarFixture.list(7, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active")));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private String moved(int revision) {
        return SidecarFixture.list(
                revision,
                false,
                SidecarFixture.member("u1", SidecarFixture.address(first), "leaving"),
                SidecarFixture.member("u2", SidecarFixture.address(second), "active"));
    }

    private void assertGoesTo(ServerSocket upstream, int id) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(id)));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(id), up.read().header("X-Txn"));
            up.send(SidecarFixture.answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
    }

    private void awaitFirstIdleEnds(RawConnection up) throws Exception {
        assertTrue(up.awaitClose(), "its idle connection is closed once the change is known");
    }

    private RawConnection idleAtFirst(int id) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(id)));
            RawConnection up = SidecarFixture.accept(first);
            up.read();
            up.send(SidecarFixture.answer("200 OK", ""));
            client.read();
            return up;
        }
    }

    /** An object over many lines, in pieces that end anywhere. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void anIndentedListIsReadAsAnyOther(int piece) throws Exception {
        JsonNode list = Config.JSON.readTree(moved(8));
        String text = Config.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list);
        assertTrue(text.lines().count() > 10);
        RawConnection up = idleAtFirst(1);
        try (RawConnection watch = fixture.acceptWatch()) {
            for (int at = 0; at < text.length(); at += piece) {
                String part = text.substring(at, Math.min(text.length(), at + piece));
                watch.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            }
            awaitFirstIdleEnds(up);
            assertGoesTo(second, 2);
        }
    }

    /** The list and the end of its connection are read in one go: the list stands, and the watch is opened anew. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aListWithNoLengthIsReadUpToTheEndOfItsConnection(boolean reset) throws Throwable {
        RawConnection up = idleAtFirst(1);
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        watch.read();
        fixture.whileEventLoopBlocked(() -> {
            watch.send("HTTP/1.1 200 OK\r\n\r\n" + moved(8));
            if (reset) {
                watch.reset();
            } else {
                watch.close();
            }
        });
        assertEquals(
                "GET /v1/endpoints?watch=1&from=8 HTTP/1.1",
                SidecarFixture.accept(fixture.discovery).read().startLine());
        awaitFirstIdleEnds(up);
        assertGoesTo(second, 2);
    }

    /** It ends in the middle of an object: nothing of that is taken, and nothing is held against discovery. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aListWithNoLengthThatIsCutShortIsAskedForAgain(boolean reset) throws Throwable {
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        watch.read();
        fixture.whileEventLoopBlocked(() -> {
            watch.send("HTTP/1.1 200 OK\r\n\r\n" + moved(8).substring(0, moved(8).length() - 1));
            if (reset) {
                watch.reset();
            } else {
                watch.close();
            }
        });
        assertEquals(
                "GET /v1/endpoints?watch=1&from=7 HTTP/1.1",
                SidecarFixture.accept(fixture.discovery).read().startLine());
        fixture.assertServed(1, first);
    }

    /** The empty line that comes while nothing changes shows that the rest of an object will not. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"revision\":8,", "{\"revision\":8,\"complete\":false,\"members\":[", "]", "8", "{]"})
    void aTornListEndsTheWatch(String torn) throws Exception {
        try (RawConnection watch = fixture.acceptWatch()) {
            watch.send(SidecarFixture.chunk(torn)).send(SidecarFixture.chunk(""));
            assertTrue(watch.awaitClose());
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1",
                    SidecarFixture.accept(fixture.discovery).read().startLine());
        }
    }

    /** No line at all, not even the empty one: what changes meanwhile is told by a watch opened anew. */
    @Test
    void aWatchThatFallsSilentIsOpenedAnew() throws Exception {
        RawConnection up = idleAtFirst(1);
        try (RawConnection silent = fixture.acceptWatch()) {
            silent.send(SidecarFixture.chunk(""));
            long silentNanos = System.nanoTime();
            RawConnection watch = SidecarFixture.accept(fixture.discovery);
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
            long afterMs = (System.nanoTime() - silentNanos) / 1_000_000;
            assertTrue(afterMs >= 2000, "an empty line comes every 2 s, it was not silent yet after " + afterMs);
            assertTrue(afterMs < 5000, "what it misses counts as told after 6 s, it was silent for " + afterMs);
            watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SidecarFixture.chunk(moved(9)));
            awaitFirstIdleEnds(up);
            assertGoesTo(second, 2);
        }
    }

    /** Discovery takes the call and then hangs, as it may just before it is well again. */
    @Test
    void aCallThatIsNeverAnsweredLeavesTimeForTheNext() throws Exception {
        RawConnection hung = SidecarFixture.accept(fixture.discovery);
        long hungNanos = System.nanoTime();
        hung.read();
        SidecarFixture.accept(fixture.discovery).read();
        long afterMs = (System.nanoTime() - hungNanos) / 1_000_000;
        assertTrue(afterMs < 5000, "the list has to be in hand after 6 s, the next call came after " + afterMs);
        assertTrue(hung.awaitClose());
    }

    /** What was written to the old watch is read after the new one has been opened, and may be older. */
    @Test
    void lateLinesOfAnOldWatchUndoNothing() throws Throwable {
        RawConnection old = fixture.acceptWatch();
        RawConnection up = idleAtFirst(1);
        fixture.whileEventLoopBlocked(() -> {
            fixture.sidecar().loop().execute(() -> fixture.sidecar().reopenWatch());
            old.send(SidecarFixture.chunk(SidecarFixture.list(
                    8, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active"))));
        });
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SidecarFixture.chunk(moved(9)));
        awaitFirstIdleEnds(up);
        assertGoesTo(second, 2);
        assertTrue(old.awaitClose());
    }

    @Test
    void aWatchThatIsResetIsOpenedAnewWhenDiscoveryIsBack() throws Exception {
        RawConnection up = idleAtFirst(1);
        fixture.acceptWatch().reset();
        for (int down = 0; down < 3; down++) {
            SidecarFixture.accept(fixture.discovery).reset();
        }
        RawConnection busy = SidecarFixture.accept(fixture.discovery);
        busy.read();
        busy.send(SidecarFixture.answer("503 Service Unavailable", ""));
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SidecarFixture.chunk(moved(9)));
        awaitFirstIdleEnds(up);
        assertGoesTo(second, 2);
    }

    /** What changed while discovery was down is told the moment that it is back: by then a watch has to be due. */
    @Test
    void howeverLongDiscoveryIsDownTheNextWatchIsDueWithinTheGrace() throws Exception {
        fixture.acceptWatch().reset();
        for (int down = 0; down < 8; down++) {
            SidecarFixture.accept(fixture.discovery).reset();
        }
        SidecarFixture.accept(fixture.discovery).read();
        long pauseMs =
                fixture.sidecar().loop().submit(fixture.sidecar()::watchPauseMs).get();
        assertTrue(pauseMs > 0 && pauseMs < 500, "it waits " + pauseMs + " ms");
    }
}
