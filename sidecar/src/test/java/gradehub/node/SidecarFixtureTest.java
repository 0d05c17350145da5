package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** The fixture itself: what one leaves behind would come in the way of the next. */
class SidecarFixtureTest {

    /** Its watch breaks as the fixture closes: it would be opened anew on a port that may be another's by then. */
    @Test
    void aRigThatIsClosedLeavesNoSidecarBehind() throws Exception {
        Sidecar sidecar;
        try (SidecarFixture fixture = new SidecarFixture();
                ServerSocket upstream = fixture.listener()) {
            sidecar = fixture.start(SidecarFixture.list(
                            1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")))
                    .sidecar();
            fixture.acceptWatch();
        }
        assertTrue(sidecar.loop().isTerminated());
    }
}
