package gradehub;

/** Failures in a row and, once they have led to an ejection, when the next trial is due: ever rarer. */
final class EjectionState {

    private static final double FIRST_GAP_MS = 250; // doubled before each trial, the first one too
    private static final double LONGEST_GAP_MS = 4000;

    int failures;
    boolean ejected;
    private double nextTrialMs;
    private double gapMs;

    void eject(double nowMs) {
        ejected = true;
        gapMs = FIRST_GAP_MS;
        trialSent(nowMs);
    }

    void trialSent(double nowMs) {
        gapMs = Math.min(2 * gapMs, LONGEST_GAP_MS);
        nextTrialMs = nowMs + gapMs;
    }

    boolean excludes(double nowMs) {
        return ejected && nowMs < nextTrialMs;
    }
}
