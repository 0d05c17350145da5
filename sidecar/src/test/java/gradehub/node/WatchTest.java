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

    private Rig rig;
    private ServerSocket first;
    private ServerSocket second;

    @BeforeEach
    void open() throws Exception {
        rig = new Rig();
        first = rig.listener();
        second = rig.listener();
        rig.start(Rig.list(7, true, Rig.member("u1", Rig.address(first), "active")));
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
    }

    private String moved(int revision) {
        return Rig.list(
                revision,
                false,
                Rig.member("u1", Rig.address(first), "leaving"),
                Rig.member("u2", Rig.address(second), "active"));
    }

    private void assertGoesTo(ServerSocket upstream, int id) throws Exception {
        try (Wire client = rig.client()) {
            client.send(Rig.get(Rig.id(id)));
            Wire up = Rig.accept(upstream);
            assertEquals(Rig.id(id), up.read().header("X-Txn"));
            up.send(Rig.answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
    }

    private void awaitFirstIdleEnds(Wire up) throws Exception {
        assertTrue(up.ends(), "its idle connection is closed once the change is known");
    }

    private Wire idleAtFirst(int id) throws Exception {
        try (Wire client = rig.client()) {
            client.send(Rig.get(Rig.id(id)));
            Wire up = Rig.accept(first);
            up.read();
            up.send(Rig.answer("200 OK", ""));
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
        Wire up = idleAtFirst(1);
        try (Wire watch = rig.watch()) {
            for (int at = 0; at < text.length(); at += piece) {
                String part = text.substring(at, Math.min(text.length(), at + piece));
                watch.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
            }
            awaitFirstIdleEnds(up);
            assertGoesTo(second, 2);
        }
    }

    /** The empty line that comes while nothing changes shows that the rest of an object will not. */
    @ParameterizedTest
    @ValueSource(strings = {"{\"revision\":8,", "{\"revision\":8,\"complete\":false,\"members\":[", "]", "8", "{]"})
    void aTornListEndsTheWatch(String torn) throws Exception {
        try (Wire watch = rig.watch()) {
            watch.send(Rig.chunk(torn)).send(Rig.chunk(""));
            assertTrue(watch.ends());
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1",
                    Rig.accept(rig.discovery).read().first());
        }
    }

    /** No line at all, not even the empty one: what changes meanwhile is told by a watch opened anew. */
    @Test
    void aWatchThatFallsSilentIsOpenedAnew() throws Exception {
        Wire up = idleAtFirst(1);
        try (Wire silent = rig.watch()) {
            silent.send(Rig.chunk(""));
            long silentNanos = System.nanoTime();
            Wire watch = Rig.accept(rig.discovery);
            assertEquals(
                    "GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().first());
            long afterMs = (System.nanoTime() - silentNanos) / 1_000_000;
            assertTrue(afterMs >= 2000, "an empty line comes every 2 s, it was not silent yet after " + afterMs);
            assertTrue(afterMs < 5000, "what it misses counts as told after 6 s, it was silent for " + afterMs);
            watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Rig.chunk(moved(9)));
            awaitFirstIdleEnds(up);
            assertGoesTo(second, 2);
        }
    }

    /** Discovery takes the call and then hangs, as it may just before it is well again. */
    @Test
    void aCallThatIsNeverAnsweredLeavesTimeForTheNext() throws Exception {
        Wire hung = Rig.accept(rig.discovery);
        long hungNanos = System.nanoTime();
        hung.read();
        Rig.accept(rig.discovery).read();
        long afterMs = (System.nanoTime() - hungNanos) / 1_000_000;
        assertTrue(afterMs < 5000, "the list has to be in hand after 6 s, the next call came after " + afterMs);
        assertTrue(hung.ends());
    }

    /** What was written to the old watch is read after the new one has been opened, and may be older. */
    @Test
    void lateLinesOfAnOldWatchUndoNothing() throws Throwable {
        Wire old = rig.watch();
        Wire up = idleAtFirst(1);
        rig.whileHeld(() -> {
            rig.sidecar().loop().execute(() -> rig.sidecar().watchAnew());
            old.send(Rig.chunk(Rig.list(8, true, Rig.member("u1", Rig.address(first), "active"))));
        });
        Wire watch = Rig.accept(rig.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().first());
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Rig.chunk(moved(9)));
        awaitFirstIdleEnds(up);
        assertGoesTo(second, 2);
        assertTrue(old.ends());
    }

    @Test
    void aWatchThatIsResetIsOpenedAnewWhenDiscoveryIsBack() throws Exception {
        Wire up = idleAtFirst(1);
        rig.watch().reset();
        for (int down = 0; down < 3; down++) {
            Rig.accept(rig.discovery).reset();
        }
        Wire busy = Rig.accept(rig.discovery);
        busy.read();
        busy.send(Rig.answer("503 Service Unavailable", ""));
        Wire watch = Rig.accept(rig.discovery);
        assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", watch.read().first());
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Rig.chunk(moved(9)));
        awaitFirstIdleEnds(up);
        assertGoesTo(second, 2);
    }

    /** What changed while discovery was down is told the moment that it is back: by then a watch has to be due. */
    @Test
    void howeverLongDiscoveryIsDownTheNextWatchIsDueWithinTheGrace() throws Exception {
        rig.watch().reset();
        for (int down = 0; down < 8; down++) {
            Rig.accept(rig.discovery).reset();
        }
        Rig.accept(rig.discovery).read();
        long pauseMs = rig.sidecar().loop().submit(rig.sidecar()::watchPauseMs).get();
        assertTrue(pauseMs > 0 && pauseMs < 500, "it waits " + pauseMs + " ms");
    }
}
