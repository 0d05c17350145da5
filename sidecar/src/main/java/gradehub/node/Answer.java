package gradehub.node;

/** The final answer to a client's request; {@code retryAfterMs} is 0 if no Retry-After applies, {@code contentType} may be null. */
record Answer(int status, double retryAfterMs, String contentType, byte[] body) {

    private static final int FAILED_STATUS = 502;
    private static final byte[] NO_BODY = {};

    /** The request did not run; retrying it is safe. */
    static Answer refused(double retryAfterMs) {
        return new Answer(503, retryAfterMs, null, NO_BODY);
    }

    /** The request may have run: never 429 or 503, which would signal that a retry is safe. */
    static Answer failed() {
        return new Answer(FAILED_STATUS, 0, null, NO_BODY);
    }

    boolean isFailed() {
        return status == FAILED_STATUS;
    }
}
