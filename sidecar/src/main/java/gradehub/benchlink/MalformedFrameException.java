package gradehub.benchlink;

import java.io.IOException;

/** Signals input that violates the simulator's binary protocol; the message names the fault and its position. */
final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
