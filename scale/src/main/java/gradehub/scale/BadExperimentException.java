package gradehub.scale;

/** An experiment that is refused before anything starts; the message names the file and the reason. */
final class BadExperimentException extends Exception {

    private static final long serialVersionUID = 1L;

    BadExperimentException(String message, Throwable cause) {
        super(message, cause);
    }
}
