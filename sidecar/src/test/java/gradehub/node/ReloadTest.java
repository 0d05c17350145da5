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

/** SIGHUP and a configuration that names another discovery. */
class ReloadTest {

    @TempDir
    private Path folder;

    private Map<String, String> file(String text) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return Map.of("BALANCER_CONFIG", file.toString());
    }

    private static void hangUp() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder(
                                "kill",
                                "-HUP",
                                String.valueOf(ProcessHandle.current().pid()))
                        .start()
                        .waitFor());
    }

    /** Without a handler this ends the virtual machine; one that comes early counts all the same. */
    @Test
    void theSignalRunsWhatReloads() throws Exception {
        ReloadSignal signal = new ReloadSignal();
        CountDownLatch twice = new CountDownLatch(2);
        hangUp();
        signal.onSignal(() -> {
            twice.countDown();
            return true;
        });
        hangUp();
        assertTrue(twice.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** The new address is watched at once, for its whole list whatever its revision; the old watch ends. */
    @Test
    void anotherDiscoveryIsWatchedAndTheOldOneLeft() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket first = fixture.listener();
            ServerSocket second = fixture.listener();
            ServerSocket moved = fixture.listener();
            fixture.start(SidecarFixture.list(
                    41, true, SidecarFixture.member("u1", SidecarFixture.address(first), "active")));
            RawConnection old = fixture.acceptWatch();
            ObjectNode config = fixture.config(null).put("discovery", SidecarFixture.address(moved));
            fixture.sidecar().reload(file(config.toString()));
            RawConnection watch = SidecarFixture.accept(moved);
            assertEquals("GET /v1/endpoints?watch=1 HTTP/1.1", watch.read().startLine());
            assertTrue(old.awaitClose());
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
                RawConnection up = SidecarFixture.accept(first);
                up.read();
                up.send(SidecarFixture.answer("200 OK", "one"));
                assertEquals("one", client.read().body(), "until the new list comes the old one stands");
                watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + SidecarFixture.chunk(SidecarFixture.list(
                                3, true, SidecarFixture.member("u2", SidecarFixture.address(second), "active"))));
                assertTrue(up.awaitClose());
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
                assertEquals(
                        SidecarFixture.requestId(2),
                        SidecarFixture.accept(second).read().header("X-Txn"));
            }
        }
    }

    /** A file that is being replaced was read once, and the move to another discovery was lost. */
    @Test
    void aReloadThatFoundNoWholeFileIsRepeated() throws Exception {
        ReloadSignal signal = new ReloadSignal();
        CountDownLatch thrice = new CountDownLatch(3);
        signal.onSignal(() -> {
            thrice.countDown();
            return thrice.getCount() == 0;
        });
        hangUp();
        assertTrue(thrice.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** Whether a file may become better by itself decides whether it is read again. */
    @Test
    void onlyAFileThatIsNotWholeIsReadAgain() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            fixture.start(SidecarFixture.list(1, true));
            String whole = fixture.config(null).toString();
            assertFalse(fixture.sidecar().reload(file(whole.substring(0, whole.length() / 2))), "half written");
            assertFalse(fixture.sidecar().reload(file("")), "not written yet");
            assertFalse(fixture.sidecar()
                    .reload(Map.of("BALANCER_CONFIG", folder.resolve("missing").toString())));
            assertTrue(fixture.sidecar().reload(file("{}")), "whole and wrong");
            assertTrue(fixture.sidecar().reload(file(whole)));
        }
    }

    @Test
    void aBadFileChangesNothing() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ServerSocket upstream = fixture.listener();
            fixture.start(SidecarFixture.list(
                    1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
            RawConnection watch = fixture.acceptWatch();
            fixture.sidecar().reload(file("{\"discovery\":"));
            fixture.sidecar()
                    .reload(Map.of("BALANCER_CONFIG", folder.resolve("missing").toString()));
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
                RawConnection up = SidecarFixture.accept(upstream);
                up.read();
                up.send(SidecarFixture.answer("200 OK", "one"));
                assertEquals("one", client.read().body());
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "leaving"))));
                assertTrue(up.awaitClose(), "the old watch is heard as before");
            }
        }
    }
}
