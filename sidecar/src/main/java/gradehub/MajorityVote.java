package gradehub;

/** The most frequent value of a stream in constant space (Boyer-Moore majority vote). */
final class MajorityVote {

    private double candidate;
    private int lead;

    /** Counts one vote; returns whether it is within {@code tolerance} of the resulting candidate. */
    boolean count(double vote, double tolerance) {
        lead += Math.abs(vote - candidate) <= tolerance ? 1 : -1;
        if (lead <= 0) {
            candidate = vote;
            lead = 1;
        }
        return Math.abs(vote - candidate) <= tolerance;
    }
}
