package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The packaged sidecar gets further signals while it shuts down. */
class StopSignalsIT {

    private static final int DEADLINE_MS = 60_000;

    @TempDir
    private Path folder;

    /** Guards against a signal during the shutdown that ends the process early, or puts off the end of a request. */
    @Test
    void furtherSignalsChangeNothingForRequestsOfTheShutdown() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture();
                StubServer hanging = StubServer.hanging(RawConnection.TIMEOUT_MS);
                StubServer discovery = StubServer.discovery(SidecarFixture.listOf(hanging.address()));
                SidecarProcess sidecar = SidecarProcess.start(
                        folder, fixture.config(null).put("discovery", discovery.address()), Map.of())) {
            sidecar.awaitReady();
            try (RawConnection early = sidecar.client();
                    RawConnection late = sidecar.client()) {
                late.send("GET /ready HTTP/1.1\r\n\r\n").read();
                ShutdownTimeline timeline = new ShutdownTimeline(DEADLINE_MS);
                sidecar.signal("TERM");
                early.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                for (String signal : new String[] {"HUP", "TERM", "INT", "HUP", "TERM"}) {
                    sidecar.signal(signal);
                }
                timeline.sendLate(late, SidecarFixture.postRequest(SidecarFixture.requestId(2), "b".repeat(1000)));
                sidecar.signal("TERM");
                timeline.assertAnsweredBeforeKill(late);
                timeline.assertAnsweredBeforeKill(early);
            }
            sidecar.process().waitFor();
            assertEquals(0, sidecar.process().exitValue());
        }
    }
}
