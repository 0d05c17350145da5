package gradehub;

/**
 * Ejects upstreams that are unresponsive (hung, paused, unreachable) or fail: after a time without an answer
 * to attempts in flight or after consecutive failures. Failures of one class eject for that class alone if
 * others are served. An answer ends an ejection; trial requests follow an exponential backoff.
 */
final class OutlierEjection {

    private static final int CONSECUTIVE_FAILURES = 3; // so many in a row are unlikely by chance
    private static final double ANSWER_TIMEOUT = 3; // in typical latencies, divided by the attempts in flight
    private static final double MIN_ANSWER_TIMEOUT = 1.5; // in typical latencies, for any number in flight

    private final Balancer.Actions actions;

    OutlierEjection(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Whether no request of the class may be sent to this upstream now, not even as a trial. */
    boolean excludes(double nowMs, UpstreamState upstream, ClassStats stats) {
        return upstream.ejection.excludes(nowMs) || upstream.ejection(stats).excludes(nowMs);
    }

    void recordAttempt(double nowMs, UpstreamState upstream, ClassStats stats) {
        upstream.ejection.recordTrial(nowMs);
        upstream.ejection(stats).recordTrial(nowMs);
    }

    void recordFailure(double nowMs, UpstreamState upstream, ClassStats stats) {
        EjectionState overall = upstream.ejection;
        EjectionState ofClass = upstream.ejection(stats);
        overall.failures++;
        ofClass.failures++;
        if (overall.failures >= CONSECUTIVE_FAILURES) {
            eject(nowMs, upstream, overall.failures + " consecutive failures");
        } else if (!overall.ejected && !ofClass.ejected && ofClass.failures >= CONSECUTIVE_FAILURES) {
            actions.log(upstream + " is ejected for class " + stats.spec.name() + " only: " + ofClass.failures
                    + " consecutive failures; sending trial requests");
            ofClass.eject(nowMs);
        }
    }

    void recordClassSuccess(UpstreamState upstream, ClassStats stats) {
        EjectionState ofClass = upstream.ejection(stats);
        ofClass.failures = 0;
        if (ofClass.ejected) {
            ofClass.ejected = false;
            actions.log(upstream + " serves class " + stats.spec.name() + " again");
        }
    }

    void recordAnswer(double nowMs, UpstreamState upstream, int members) {
        upstream.lastAnswerMs = nowMs;
        upstream.ejection.failures = 0;
        if (upstream.ejection.ejected) {
            upstream.ejection.ejected = false;
            actions.log(upstream + " answers again: ejection ended");
            upstream.share = Math.max(upstream.share, 1.0 / members); // a reduced share would hardly recover
        }
    }

    /** Ejects an upstream without an answer for too long; {@code oldest} is its oldest attempt in flight. */
    void checkUnresponsive(double nowMs, UpstreamState upstream, Attempt oldest) {
        double unansweredMs = nowMs - Math.max(upstream.lastAnswerMs, oldest.sentMs);
        // A single attempt is often slow by chance; several at once rarely are.
        double threshold = Math.max(ANSWER_TIMEOUT, oldest.call.stats.tailRatio) / upstream.inFlight;
        if (unansweredMs > Math.max(MIN_ANSWER_TIMEOUT, threshold) * oldest.call.stats.medianMs) {
            eject(nowMs, upstream, "no answer for " + Math.round(unansweredMs) + " ms");
        }
    }

    void eject(double nowMs, UpstreamState upstream, String reason) {
        if (!upstream.ejection.ejected) {
            actions.log(upstream + " is ejected: " + reason + "; sending trial requests");
            upstream.ejection.eject(nowMs);
        }
    }
}
