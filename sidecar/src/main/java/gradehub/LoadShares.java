package gradehub;

import java.util.List;

/**
 * Updates the members' shares by the step of the design: D <- D (1 + eta F l), then normalised. If a tick has
 * few samples of an upstream, older ones are kept with a decaying weight; l_mean and each step are weighted
 * by the confidence in the samples.
 */
final class LoadShares {

    private static final double STEP = 0.2; // of a share in a tick, for a deviation of one mean (the paper's)
    private static final double MAX_DEVIATION = 2; // in means: the factor is at least 1 - 0.2 x 2
    private static final double DECAY = 0.85; // of samples kept for the next tick, if few
    private static final double ENOUGH_SAMPLES = 8; // in a tick, to keep none for the next
    private static final double HALF_CONFIDENCE = 4; // samples at which the confidence is 0.5
    private static final double MIN_SHARE = 0.1; // of the mean share, so that each member still gets samples

    private LoadShares() {}

    /** Moves the members' shares toward equal latency, using the samples of the tick that ends. */
    static void update(double nowMs, List<UpstreamState> members) {
        double sum = 0;
        double confidences = 0;
        for (UpstreamState member : members) {
            measure(nowMs, member);
            sum += member.confidence * member.meanLatencyRatio;
            confidences += member.confidence;
        }
        for (UpstreamState member : members) {
            if (member.confidence > 0) {
                double deviation = Math.min(MAX_DEVIATION, member.meanLatencyRatio * confidences / sum - 1);
                double moved = member.share * (1 - STEP * member.confidence * deviation);
                member.share = Math.max(moved, MIN_SHARE / members.size());
            }
            double kept = DECAY * Math.max(0, 1 - member.samples / ENOUGH_SAMPLES);
            member.latencyRatioSum *= kept;
            member.samples *= kept;
        }
        normalise(members);
    }

    private static void measure(double nowMs, UpstreamState member) {
        double latencyRatioSum = member.latencyRatioSum;
        double samples = member.samples;
        for (Attempt attempt : member.attempts) {
            // A hung upstream gives no answers: an attempt older than the median counts with its age.
            double ratio = (nowMs - attempt.sentMs) / attempt.call.stats.medianMs;
            if (ratio > 1) {
                latencyRatioSum += ratio;
                samples++;
            }
        }
        member.meanLatencyRatio = latencyRatioSum / Math.max(samples, Double.MIN_NORMAL);
        member.confidence = samples / (samples + HALF_CONFIDENCE);
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
