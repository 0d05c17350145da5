package gradehub.scale;

/** Thrown for an experiment that is rejected before any run starts; the message tells the reason. */
final class InvalidExperimentException extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
