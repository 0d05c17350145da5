package gradehub;

/** Failures in a row and, once they have led to a set-aside, when the next trial is due: ever rarer. */
final class Trials {

    int failures;
    /** Whether it is set aside for the class that these trials are of. */
    boolean apart;

    double atMs;
    private double gapMs;
    private double longestGapMs;

    /** Begins with a first trial after twice this gap. */
    void begin(double nowMs, double firstGapMs, double longestMs) {
        gapMs = firstGapMs;
        longestGapMs = longestMs;
        note(nowMs);
    }

    /** One is made now. */
    void note(double nowMs) {
        gapMs = Math.min(2 * gapMs, longestGapMs);
        atMs = nowMs + gapMs;
    }
}
