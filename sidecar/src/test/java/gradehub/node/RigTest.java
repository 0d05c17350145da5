package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** The rig itself: what one leaves behind would come in the way of the next. */
class RigTest {

    /** Its watch breaks as the rig closes: it would be opened anew on a port that may be another's by then. */
    @Test
    void aRigThatIsClosedLeavesNoSidecarBehind() throws Exception {
        Sidecar sidecar;
        try (Rig rig = new Rig();
                ServerSocket upstream = rig.listener()) {
            sidecar = rig.start(Rig.list(1, true, Rig.member("u1", Rig.address(upstream), "active")))
                    .sidecar();
            rig.watch();
        }
        assertTrue(sidecar.loop().isTerminated());
    }
}
