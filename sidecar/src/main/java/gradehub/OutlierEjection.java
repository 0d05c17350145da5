package gradehub;

/**
 * Takes upstreams out of the draw that are silent (hung, paused, out of reach) or fail. Acts on silence of
 * the attempts in flight, or on failures in a row: of one class for that class alone, where others are
 * served. An upstream returns by an answer, to ever rarer trials.
 */
final class OutlierEjection {

    private static final int CONSECUTIVE_FAILURES = 3; // that are hardly chance
    private static final double SILENCE = 3; // typical latencies, over the attempts in flight, that tell
    private static final double LEAST_SILENCE = 1.5; // the same, however many attempts are in flight

    private final Balancer.Actions actions;

    OutlierEjection(Balancer.Actions actions) {
        this.actions = actions;
    }

    /** Whether no request of the class may be sent there now, not even as a trial. */
    boolean excludes(double nowMs, UpstreamState upstream, ClassStats stats) {
        return upstream.probation.excludes(nowMs) || upstream.probation(stats).excludes(nowMs);
    }

    void sent(double nowMs, UpstreamState upstream, ClassStats stats) {
        upstream.probation.tried(nowMs);
        upstream.probation(stats).tried(nowMs);
    }

    void failed(double nowMs, UpstreamState upstream, ClassStats stats) {
        Probation whole = upstream.probation;
        Probation ofClass = upstream.probation(stats);
        whole.failures++;
        ofClass.failures++;
        if (whole.failures >= CONSECUTIVE_FAILURES) {
            eject(nowMs, upstream, "it failed " + whole.failures + " times in a row");
        } else if (!whole.ejected && !ofClass.ejected && ofClass.failures >= CONSECUTIVE_FAILURES) {
            actions.log(upstream + " is set aside for " + stats.spec.name() + " alone, which it failed "
                    + ofClass.failures + " times in a row; trying it now and then");
            ofClass.begin(nowMs);
        }
    }

    void served(UpstreamState upstream, ClassStats stats) {
        Probation ofClass = upstream.probation(stats);
        ofClass.failures = 0;
        if (ofClass.ejected) {
            ofClass.ejected = false;
            actions.log(upstream + " serves " + stats.spec.name() + " again");
        }
    }

    void answered(double nowMs, UpstreamState upstream, int members) {
        upstream.lastAnswerMs = nowMs;
        upstream.probation.failures = 0;
        if (upstream.probation.ejected) {
            upstream.probation.ejected = false;
            actions.log(upstream + " answers again and is back in the draw");
            upstream.share = Math.max(upstream.share, 1.0 / members); // else a cut share hardly climbs back
        }
    }

    /** Ejects an upstream that is silent for too long; {@code oldest} is its oldest attempt in flight. */
    void checkSilence(double nowMs, UpstreamState upstream, Attempt oldest) {
        double silentMs = nowMs - Math.max(upstream.lastAnswerMs, oldest.sentMs);
        // One attempt alone is often slow by chance; several that wait together hardly are.
        double enough = Math.max(SILENCE, oldest.call.stats.tailRatio) / upstream.inFlight;
        if (silentMs > Math.max(LEAST_SILENCE, enough) * oldest.call.stats.medianMs) {
            eject(nowMs, upstream, "silent for " + Math.round(silentMs) + " ms");
        }
    }

    void eject(double nowMs, UpstreamState upstream, String reason) {
        if (!upstream.probation.ejected) {
            actions.log(upstream + " is set aside, " + reason + "; trying it now and then");
            upstream.probation.begin(nowMs);
        }
    }
}
