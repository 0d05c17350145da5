package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reloading on SIGHUP, with a configuration that has another address of discovery. */
class ReloadTest {

    @TempDir
    private Path folder;

    private Map<String, String> writeConfig(String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return Map.of("BALANCER_CONFIG", file.toString());
    }

    private static void sendSighup() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder(
                                "kill",
                                "-HUP",
                                String.valueOf(ProcessHandle.current().pid()))
                        .start()
                        .waitFor());
    }

    /** Without a handler the signal ends the JVM; a signal before the action is set must not be lost either. */
    @Test
    void signalsBeforeAndAfterTheActionIsSetRunIt() throws Exception {
        ReloadSignal signal = new ReloadSignal();
        CountDownLatch bothRuns = new CountDownLatch(2);
        sendSighup();
        signal.onSignal(() -> {
            bothRuns.countDown();
            return true;
        });
        sendSighup();
        assertTrue(bothRuns.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** The new address is watched at once, for the whole list whatever its revision, and the old watch is closed. */
    @Test
    void newDiscoveryAddressIsWatchedAndTheOldWatchClosed() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket first = fixture.listener();
            ServerSocket second = fixture.listener();
            ServerSocket newDiscovery = fixture.listener();
            fixture.start(SidecarFixture.list(
                    41, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active")));
            RawConnection oldWatch = fixture.acceptWatch();
            ObjectNode config = fixture.config(null).put("discovery", SidecarFixture.address(newDiscovery));
            fixture.sidecar().reload(writeConfig(config.toString()));
            RawConnection watch = SidecarFixture.accept(newDiscovery);
            assertEquals("GET /v1/endpoints?watch=1 HTTP/1.1", watch.read().startLine());
            assertTrue(oldWatch.awaitClose());
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
                RawConnection connection = SidecarFixture.accept(first);
                connection.read();
                connection.send(SidecarFixture.answer("200 OK", "one"));
                assertEquals("one", client.read().body(), "the old list is used until the new one arrives");
                watch.send(SidecarFixture.watchAnswer(SidecarFixture.list(
                        3, true, SidecarFixture.member("u2", SidecarFixture.address(second), "active"))));
                assertTrue(connection.awaitClose());
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
                assertEquals(
                        SidecarFixture.requestId(2),
                        SidecarFixture.accept(second).read().header("X-Txn"));
            }
        }
    }

    /** Guards against losing a change of the discovery address: a file that was being replaced was read only once. */
    @Test
    void reloadOfAnIncompleteFileIsRetried() throws Exception {
        ReloadSignal signal = new ReloadSignal();
        CountDownLatch threeRuns = new CountDownLatch(3);
        signal.onSignal(() -> {
            threeRuns.countDown();
            return threeRuns.getCount() == 0;
        });
        sendSighup();
        assertTrue(threeRuns.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** A file is read again only if a later read may succeed without another signal. */
    @Test
    void onlyAnIncompleteFileIsReadAgain() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.start(SidecarFixture.list(1, true));
            String complete = fixture.config(null).toString();
            assertFalse(
                    fixture.sidecar().reload(writeConfig(complete.substring(0, complete.length() / 2))),
                    "partly written");
            assertFalse(fixture.sidecar().reload(writeConfig("")), "empty");
            assertFalse(fixture.sidecar()
                    .reload(Map.of("BALANCER_CONFIG", folder.resolve("missing").toString())));
            assertTrue(fixture.sidecar().reload(writeConfig("{}")), "complete but invalid");
            assertTrue(fixture.sidecar().reload(writeConfig(complete)));
        }
    }

    @Test
    void invalidFileChangesNothing() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket upstream = fixture.listener();
            fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)));
            RawConnection watch = fixture.acceptWatch();
            fixture.sidecar().reload(writeConfig("{\"discovery\":"));
            fixture.sidecar()
                    .reload(Map.of("BALANCER_CONFIG", folder.resolve("missing").toString()));
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
                RawConnection connection = SidecarFixture.accept(upstream);
                connection.read();
                connection.send(SidecarFixture.answer("200 OK", "one"));
                assertEquals("one", client.read().body());
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "leaving"))));
                assertTrue(connection.awaitClose(), "the existing watch still takes effect");
            }
        }
    }
}
