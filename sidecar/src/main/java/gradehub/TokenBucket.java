package gradehub;

/** A token bucket whose fill rate may change. */
final class TokenBucket {

    private double tokens;
    private double filledMs;

    void reset(double nowMs, double initialTokens) {
        tokens = initialTokens;
        filledMs = nowMs;
    }

    /**
     * Refills at {@code tokensPerMs} and returns whether a token is available. The bucket keeps what
     * {@code burstMs} brings beyond one token. If one takes over {@code lapseMs}, an unused one lapses.
     */
    boolean hasToken(double nowMs, double tokensPerMs, double burstMs, double lapseMs) {
        tokens += tokensPerMs * (nowMs - filledMs);
        filledMs = nowMs;
        double lapsing = tokensPerMs * lapseMs;
        if (lapsing >= 1) {
            tokens = Math.min(tokens, 1 + tokensPerMs * burstMs);
        } else if (tokens >= 1 + lapsing) {
            tokens -= Math.floor(tokens - lapsing);
        }
        return tokens >= 1;
    }

    void consume(double count) {
        tokens -= count;
    }
}
