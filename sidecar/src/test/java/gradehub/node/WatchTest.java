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

/** Watches whose lists are unusually formatted, or that stall, break or deliver stale data. */
class WatchTest {

    private SidecarFixture fixture;
    private ServerSocket first;
    private ServerSocket second;

    @BeforeEach
    void open() throws Exception {
        start("push");
    }

    private void start(String membershipMode) throws Exception {
        fixture = new SidecarFixture();
        first = fixture.listener();
        second = fixture.listener();
        fixture.startWithSetting(
                SidecarFixture.list(7, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active")),
                "\"push\"",
                "\"" + membershipMode + "\"");
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

    private void assertServedBy(ServerSocket upstream, int id) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(id)));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(id), up.read().header("X-Txn"));
            up.send(SidecarFixture.answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
    }

    private void awaitIdleClose(RawConnection up) throws Exception {
        assertTrue(up.awaitClose(), "idle connection should close once the change has arrived");
    }

    private RawConnection openIdleToFirst(int id) throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(id)));
            RawConnection up = SidecarFixture.accept(first);
            up.read();
            up.send(SidecarFixture.answer("200 OK", ""));
            client.read();
            return up;
        }
    }

    /** An object over many lines, split into chunks at arbitrary positions. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100_000})
    void indentedListIsParsed(int piece) throws Exception {
        JsonNode list = Config.JSON.readTree(moved(8));
        String text = Config.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list);
        assertTrue(text.lines().count() > 10);
        RawConnection up = openIdleToFirst(1);
        try (RawConnection watch = fixture.acceptWatch()) {
            for (int at = 0; at < text.length(); at += piece) {
                String part = text.substring(at, Math.min(text.length(), at + piece));
                watch.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            }
            awaitIdleClose(up);
            assertServedBy(second, 2);
        }
    }

    /** The list and the close are read at once: the list must be applied and the watch reopened. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void listWithoutLengthIsReadUntilClose(boolean reset) throws Throwable {
        RawConnection up = openIdleToFirst(1);
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
        awaitIdleClose(up);
        assertServedBy(second, 2);
    }

    /** The connection closes within an object: the partial object is dropped and the watch reopened. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void truncatedListWithoutLengthIsRequestedAgain(boolean reset) throws Throwable {
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

    /** An empty line, sent while nothing changes, shows that the rest of an object has been lost. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"revision\":8,", "{\"revision\":8,\"complete\":false,\"members\":[", "]", "8", "{]"})
    void malformedListEndsTheWatch(String malformed) throws Exception {
        try (RawConnection watch = fixture.acceptWatch()) {
            watch.send(SidecarFixture.chunk(malformed)).send(SidecarFixture.chunk(""));
            assertTrue(watch.awaitClose());
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1",
                    SidecarFixture.accept(fixture.discovery).read().startLine());
        }
    }

    /** Without even empty lines the watch is reopened, so that changes in the meantime arrive. */
    @Test
    void silentWatchIsReopened() throws Exception {
        RawConnection up = openIdleToFirst(1);
        try (RawConnection silent = fixture.acceptWatch()) {
            silent.send(SidecarFixture.chunk(""));
            long silentNanos = System.nanoTime();
            RawConnection watch = SidecarFixture.accept(fixture.discovery);
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
            long afterMs = (System.nanoTime() - silentNanos) / 1_000_000;
            assertTrue(afterMs >= 2000, "empty lines come every 2 s, reopened too early, after ms: " + afterMs);
            assertTrue(
                    afterMs < 5000,
                    "missed changes count as reported after 6 s, reopened too late, after ms: " + afterMs);
            watch.send(SidecarFixture.watchAnswer(moved(9)));
            awaitIdleClose(up);
            assertServedBy(second, 2);
        }
    }

    /** Opens a watch and lets it fall silent; returns once the sidecar has requested the list on another one. */
    private RawConnection awaitReplacement(RawConnection silent) throws Exception {
        silent.send(SidecarFixture.chunk(""));
        RawConnection replacement = SidecarFixture.accept(fixture.discovery);
        assertEquals(
                "GET /v1/endpoints?watch=1&from=7 HTTP/1.1", replacement.read().startLine());
        return replacement;
    }

    /**
     * Guards against requests to draining upstreams: a silent watch was closed before the next one had answered, and a
     * slow discovery wrote a change to the closed one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"push", "ask"})
    void changeOnSilentWatchIsAppliedUntilTheNextOneAnswers(String mode) throws Exception {
        fixture.close();
        start(mode);
        RawConnection up = openIdleToFirst(1);
        try (RawConnection silent = fixture.acceptWatch();
                RawConnection replacement = awaitReplacement(silent)) {
            silent.send(SidecarFixture.chunk(moved(8)));
            awaitIdleClose(up);
            assertServedBy(second, 2);
            replacement.send(SidecarFixture.watchAnswer(""));
            assertTrue(silent.awaitClose(), "one watch is enough");
        }
    }

    /** Guards against missing the answer of a slow discovery that comes just after 3 s: its request was closed then. */
    @Test
    void lateAnswerToAnUnansweredRequestIsUsed() throws Throwable {
        fixture.close();
        start("ask");
        RawConnection up = openIdleToFirst(1);
        try (RawConnection slow = SidecarFixture.accept(fixture.discovery)) {
            slow.read();
            String answer = SidecarFixture.watchAnswer(moved(8));
            // Sent on the event loop, so that it is read before the next request is opened.
            fixture.awaitOnEventLoop(() -> fixture.sidecar().isWatchSilent() && slow.send(answer) != null);
            awaitIdleClose(up);
            assertServedBy(second, 2);
            fixture.awaitOnEventLoop(() -> !fixture.sidecar().isWatchSilent());
        }
    }

    /** An answer from before a change that the silent watch has delivered must not undo that change. */
    @Test
    void olderListOfTheNextWatchIsIgnored() throws Exception {
        RawConnection up = openIdleToFirst(1);
        try (RawConnection silent = fixture.acceptWatch();
                RawConnection replacement = awaitReplacement(silent)) {
            silent.send(SidecarFixture.chunk(moved(9)));
            awaitIdleClose(up);
            replacement.send(SidecarFixture.watchAnswer(SidecarFixture.list(
                    8, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active"))));
            assertTrue(silent.awaitClose());
            assertServedBy(second, 2);
        }
    }

    /** A silent watch is kept while attempts to replace it fail. */
    @Test
    void silentWatchIsKeptIfTheNextOneFails() throws Exception {
        RawConnection up = openIdleToFirst(1);
        try (RawConnection silent = fixture.acceptWatch()) {
            awaitReplacement(silent).reset();
            RawConnection next = SidecarFixture.accept(fixture.discovery);
            next.read();
            silent.send(SidecarFixture.chunk(moved(8)));
            awaitIdleClose(up);
            assertServedBy(second, 2);
            next.close();
        }
    }

    /** Discovery accepts the connection and then hangs, as it may shortly before it recovers. */
    @Test
    void unansweredRequestIsReplacedInTime() throws Exception {
        RawConnection hung = SidecarFixture.accept(fixture.discovery);
        long hungNanos = System.nanoTime();
        hung.read();
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        watch.read();
        long afterMs = (System.nanoTime() - hungNanos) / 1_000_000;
        assertTrue(afterMs < 5000, "the list must arrive within 6 s, next request came after ms: " + afterMs);
        watch.send(SidecarFixture.watchAnswer(""));
        assertTrue(hung.awaitClose());
    }

    /** Data written to the old watch is read after the new one has been opened, and may be stale. */
    @Test
    void lateDataFromReplacedWatchIsIgnored() throws Throwable {
        RawConnection old = fixture.acceptWatch();
        RawConnection up = openIdleToFirst(1);
        fixture.whileEventLoopBlocked(() -> {
            fixture.sidecar().loop().execute(() -> fixture.sidecar().reopenWatch());
            old.send(SidecarFixture.chunk(SidecarFixture.list(
                    8, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active"))));
        });
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
        watch.send(SidecarFixture.watchAnswer(moved(9)));
        awaitIdleClose(up);
        assertServedBy(second, 2);
        assertTrue(old.awaitClose());
    }

    @Test
    void resetWatchIsReopenedWhenDiscoveryRecovers() throws Exception {
        RawConnection up = openIdleToFirst(1);
        fixture.acceptWatch().reset();
        for (int down = 0; down < 3; down++) {
            SidecarFixture.accept(fixture.discovery).reset();
        }
        RawConnection busy = SidecarFixture.accept(fixture.discovery);
        busy.read();
        busy.send(SidecarFixture.answer("503 Service Unavailable", ""));
        RawConnection watch = SidecarFixture.accept(fixture.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().startLine());
        watch.send(SidecarFixture.watchAnswer(moved(9)));
        awaitIdleClose(up);
        assertServedBy(second, 2);
    }

    /** Changes during an outage count as reported when discovery recovers: the next watch must follow soon. */
    @Test
    void reconnectDelayStaysWithinDrainGracePeriod() throws Exception {
        fixture.acceptWatch().reset();
        for (int down = 0; down < 8; down++) {
            SidecarFixture.accept(fixture.discovery).reset();
        }
        SidecarFixture.accept(fixture.discovery).read();
        long pauseMs =
                fixture.sidecar().loop().submit(fixture.sidecar()::watchPauseMs).get();
        assertTrue(pauseMs > 0 && pauseMs < 500, "reconnect delay is " + pauseMs + " ms");
    }
}
