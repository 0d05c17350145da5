package gradehub;

/**
 * Decides which requests get another attempt, as a retry or a second copy, and where. Protects against retry
 * storms with a budget that each new request adds to, and against running an unsafe request twice.
 */
final class RetryPolicy {

    private static final double BUDGET_PER_REQUEST = 0.25; // attempts
    private static final double MAX_BUDGET = 20; // attempts

    private double budget = MAX_BUDGET / 2;

    void recordRequest() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /** Charges an attempt that is about to be sent; the first one of a request is free. */
    void recordAttempt(Call call) {
        budget -= call.attempts.isEmpty() ? 0 : 1;
    }

    /** Whether a request may have another attempt, if an upstream is found for it. */
    boolean allowsRetry(double nowMs, Call call, int maxAttempts) {
        return budget >= 1
                && call.attempts.size() < maxAttempts
                && call.deadlineMs - nowMs >= call.stats.medianMs
                && (call.stats.spec.effect() != Balancer.Effect.UNSAFE || call.provenNotRun());
    }

    /** A keyed request that may have run is resent only within its deduplication group and window. */
    boolean allowsRetryAt(double nowMs, Call call, UpstreamState upstream) {
        Balancer.RequestClass spec = call.stats.spec;
        return spec.effect() != Balancer.Effect.KEYED
                || call.attempts.stream()
                        .allMatch(sent -> !sent.mayHaveRun()
                                || nowMs - sent.sentMs < spec.windowMs()
                                        && sent.inGroup(spec.group(), upstream.listed));
    }

    /** Whether the client may resend the request, to any upstream; a refusal tells the client so. */
    boolean isSafeToRetry(Call call) {
        Balancer.Effect effect = call.stats.spec.effect();
        return effect == Balancer.Effect.SAFE
                || call.provenNotRun()
                || effect == Balancer.Effect.KEYED && call.stats.spec.group() == Balancer.Group.ALL;
    }
}
