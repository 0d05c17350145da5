package gradehub;

/** A bucket of tokens that fills with time, at a rate that may change. */
final class TokenBucket {

    private double tokens;
    private double filledMs;

    void reset(double nowMs, double some) {
        tokens = some;
        filledMs = nowMs;
    }

    /**
     * Fills up to now at {@code perMs} and tells whether a token is there. No more is saved than comes in
     * {@code savedMs}; a single token that is rare lapses after {@code lapseMs}, and the next is waited for.
     */
    boolean hasToken(double nowMs, double perMs, double savedMs, double lapseMs) {
        tokens += perMs * (nowMs - filledMs);
        filledMs = nowMs;
        double lapsing = perMs * lapseMs;
        if (lapsing >= 1) {
            tokens = Math.min(tokens, 1 + perMs * savedMs);
        } else if (tokens >= 1 + lapsing) {
            tokens -= Math.floor(tokens - lapsing);
        }
        return tokens >= 1;
    }

    void consume(double some) {
        tokens -= some;
    }
}
