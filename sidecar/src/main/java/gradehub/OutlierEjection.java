package gradehub;

/**
 * Takes upstreams out of the draw that are unresponsive (hung, paused, unreachable) or fail: by the silence
 * of the attempts in flight or by consecutive failures. Failures of one class eject for that class alone if
 * others are served. An answer ends an ejection; trial requests follow an exponential backoff.
 */
final class OutlierEjection {

    private static final int CONSECUTIVE_FAILURES = 3; // unlikely by chance
    private static final double SILENCE = 3; // typical latencies, divided by the attempts in flight
    private static final double MIN_SILENCE = 1.5; // typical latencies, however many attempts are in flight

    private final Balancer.Actions actions;

    OutlierEjection(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Whether no request of the class may be sent there now, not even as a trial. */
    boolean excludes(double nowMs, UpstreamState upstream, ClassStats stats) {
        return upstream.ejection.excludes(nowMs) || upstream.ejection(stats).excludes(nowMs);
    }

    void recordAttempt(double nowMs, UpstreamState upstream, ClassStats stats) {
        upstream.ejection.trialSent(nowMs);
        upstream.ejection(stats).trialSent(nowMs);
    }

    void recordFailure(double nowMs, UpstreamState upstream, ClassStats stats) {
        EjectionState whole = upstream.ejection;
        EjectionState ofClass = upstream.ejection(stats);
        whole.failures++;
        ofClass.failures++;
        if (whole.failures >= CONSECUTIVE_FAILURES) {
            eject(nowMs, upstream, whole.failures + " consecutive failures");
        } else if (!whole.ejected && !ofClass.ejected && ofClass.failures >= CONSECUTIVE_FAILURES) {
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

    /** Ejects an upstream that is silent for too long; {@code oldest} is its oldest attempt in flight. */
    void checkUnresponsive(double nowMs, UpstreamState upstream, Attempt oldest) {
        double silentMs = nowMs - Math.max(upstream.lastAnswerMs, oldest.sentMs);
        // A single attempt is often slow by chance; several at once hardly are.
        double threshold = Math.max(SILENCE, oldest.call.stats.tailRatio) / upstream.inFlight;
        if (silentMs > Math.max(MIN_SILENCE, threshold) * oldest.call.stats.medianMs) {
            eject(nowMs, upstream, "no answer for " + Math.round(silentMs) + " ms");
        }
    }

    void eject(double nowMs, UpstreamState upstream, String reason) {
        if (!upstream.ejection.ejected) {
            actions.log(upstream + " is ejected: " + reason + "; sending trial requests");
            upstream.ejection.eject(nowMs);
        }
    }
}
