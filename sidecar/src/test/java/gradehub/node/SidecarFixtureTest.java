package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** Tests that a fixture leaves nothing behind that could disturb the next test. */
class SidecarFixtureTest {

    /** Closing the fixture breaks the watch; a running sidecar would reopen it, on a port that may have a new owner. */
    @Test
    void closingTheFixtureTerminatesTheSidecar() throws Exception {
        Sidecar sidecar;
        try (SidecarFixture fixture = new SidecarFixture();
                ServerSocket upstream = fixture.listener()) {
            sidecar = fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)))
                    .sidecar();
            fixture.acceptWatch();
        }
        assertTrue(sidecar.loop().isTerminated());
    }
}
