package gradehub.scale.experiment;

/**
 * The calls of an experiment, and the attempts and tries allowed for them. All calls belong to one class of requests,
 * which is safe to repeat.
 *
 * @param rootCallsPerSecond calls per second from outside clients, summed over the whole fleet
 * @param callsPerRequest mean number of calls to the next layer that serving one request takes
 * @param aimMillis latency target: an answer within this time has its full value
 * @param deadlineMillis time limit of a client for an answer, over all its tries
 * @param maxAttempts maximum number of attempts that a sidecar makes for one request
 * @param secondCopies whether a sidecar may have two attempts of a request in flight at once
 * @param rootTries maximum number of tries of an outside client, including the first
 * @param innerTries maximum number of tries of an application for a call in the call tree, including the first
 * @param retryPauseMillis delay before a client or an application tries again
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
