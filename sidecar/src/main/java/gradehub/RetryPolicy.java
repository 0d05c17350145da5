package gradehub;

/**
 * Which requests get a further attempt, as a retry or a second copy, and where. Guards against retry storms,
 * by a budget that each new request adds to, and against running twice what must not.
 */
final class RetryPolicy {

    private static final double EARNED = 0.25; // attempts, by each request
    private static final double MOST_SAVED = 20; // attempts

    private double budget = MOST_SAVED / 2;

    void requested() {
        budget = Math.min(MOST_SAVED, budget + EARNED);
    }

    /** Notes an attempt that is about to be sent; the first one is free. */
    void sending(Call call) {
        budget -= call.attempts.isEmpty() ? 0 : 1;
    }

    /** Whether a request may have a further attempt, if an upstream is found for it. */
    boolean allows(double nowMs, Call call, int maxAttempts) {
        return budget >= 1
                && call.attempts.size() < maxAttempts
                && call.deadlineMs - nowMs >= call.stats.medianMs
                && (call.stats.spec.effect() != Balancer.Effect.UNSAFE || call.provenNotRun());
    }

    /** A keyed request that may have run goes only to the group that drops its repeats, within the window. */
    boolean allowsAt(double nowMs, Call call, UpstreamState upstream) {
        Balancer.RequestClass spec = call.stats.spec;
        return spec.effect() != Balancer.Effect.KEYED
                || call.attempts.stream()
                        .allMatch(sent -> !sent.mayHaveRun()
                                || nowMs - sent.sentMs < spec.windowMs()
                                        && sent.inGroup(spec.group(), upstream.listed));
    }

    /** Whether the client may send it again, wherever that goes: a refusal says so. */
    boolean isRepeatHarmless(Call call) {
        Balancer.Effect effect = call.stats.spec.effect();
        return effect == Balancer.Effect.SAFE
                || call.provenNotRun()
                || effect == Balancer.Effect.KEYED && call.stats.spec.group() == Balancer.Group.ALL;
    }
}
