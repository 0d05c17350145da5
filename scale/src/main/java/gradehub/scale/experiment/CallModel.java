package gradehub.scale.experiment;

/**
 * The calls of an experiment and what sidecars may do for them. All calls are of one class that is safe to repeat.
 *
 * @param rootCallsPerSecond calls of outside clients, over the whole fleet
 * @param callsPerRequest calls to the next layer that serving one request takes, in the mean
 * @param aimMillis an answer within this time has its whole worth
 * @param deadlineMillis a client waits no longer than this, over all its tries
 * @param maxAttempts attempts that a sidecar may make for one request
 * @param secondCopies whether a sidecar may have two attempts of a request out at once
 * @param rootTries tries that an outside client makes, the first one included
 * @param innerTries tries that an application makes for a call in the tree, the first one included
 * @param retryPauseMillis what a client waits before it tries again
 */
public record CallModel(
        double rootCallsPerSecond,
        double callsPerRequest,
        long aimMillis,
        long deadlineMillis,
        int maxAttempts,
        boolean secondCopies,
        int rootTries,
        int innerTries,
        long retryPauseMillis) {}
