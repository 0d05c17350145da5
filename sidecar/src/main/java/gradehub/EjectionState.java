package gradehub;

/** The count of consecutive failures and, after an ejection, the exponential backoff of trial requests. */
final class EjectionState {

    private static final double INITIAL_BACKOFF_MS = 250; // doubled before each trial, including the first
    private static final double MAX_BACKOFF_MS = 4000;

    int failures;
    boolean ejected;
    private double nextTrialMs;
    private double backoffMs;

    void eject(double nowMs) {
        ejected = true;
        backoffMs = INITIAL_BACKOFF_MS;
        recordTrial(nowMs);
    }

    void recordTrial(double nowMs) {
        backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
        nextTrialMs = nowMs + backoffMs;
    }

    boolean excludes(double nowMs) {
        return ejected && nowMs < nextTrialMs;
    }
}
