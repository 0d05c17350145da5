package gradehub;

import java.util.List;

/**
 * The shares of the draw. The design's step: D <- D (1 + eta F l), then renormalised. Where a tick has few
 * samples of an upstream, older ones last on, counting ever less; l_mean and each step go by how far samples
 * can be trusted.
 */
final class LoadShares {

    private static final double STEP = 0.2; // of a share, for a deviation of one mean in a tick: the paper's
    private static final double MOST_DEVIATION = 2; // in means: a factor is never under 1 - 0.2 x 2
    private static final double KEEP = 0.85; // of a tick's samples for the next, where they were few
    private static final double ENOUGH = 8; // samples in a tick that need none from before
    private static final double HALF_TRUST = 4; // samples at which the mean of a tick counts half
    private static final double LEAST_SHARE = 0.1; // of the mean share, so that each member is still seen

    private LoadShares() {}

    /** Moves the members' shares toward equal latency, by the samples of the tick that ends. */
    static void update(double nowMs, List<UpstreamState> members) {
        double sum = 0;
        double trusts = 0;
        for (UpstreamState member : members) {
            measure(nowMs, member);
            sum += member.confidence * member.meanLatencyRatio;
            trusts += member.confidence;
        }
        for (UpstreamState member : members) {
            if (member.confidence > 0) {
                double deviation = Math.min(MOST_DEVIATION, member.meanLatencyRatio * trusts / sum - 1);
                double moved = member.share * (1 - STEP * member.confidence * deviation);
                member.share = Math.max(moved, LEAST_SHARE / members.size());
            }
            double kept = KEEP * Math.max(0, 1 - member.samples / ENOUGH);
            member.latencyRatioSum *= kept;
            member.samples *= kept;
        }
        normalise(members);
    }

    private static void measure(double nowMs, UpstreamState member) {
        double latencyRatioSum = member.latencyRatioSum;
        double samples = member.samples;
        for (Attempt attempt : member.attempts) {
            // A hung upstream answers nothing: what is in flight for longer than usual counts by its age.
            double ratio = (nowMs - attempt.sentMs) / attempt.call.stats.medianMs;
            if (ratio > 1) {
                latencyRatioSum += ratio;
                samples++;
            }
        }
        member.meanLatencyRatio = latencyRatioSum / Math.max(samples, Double.MIN_NORMAL);
        member.confidence = samples / (samples + HALF_TRUST);
    }

    /** Scales the members' shares to a sum of 1. */
    static void normalise(List<UpstreamState> members) {
        double total = 0;
        for (UpstreamState member : members) {
            total += member.share;
        }
        for (UpstreamState member : members) {
            member.share /= total;
        }
    }
}
