package gradehub.scale.experiment;

/**
 * The simulated list service: a single server that handles calls one after another.
 *
 * @param scope the upstreams in a sidecar's list
 * @param callMicros service time of a call, without its entries
 * @param entryMicros additional service time for each entry that is written
 * @param timeoutMillis limit on the time that a call waits in the queue; a call that would wait longer fails
 * @param maxCallers maximum number of waiting calls and open watches together; further calls fail
 * @param lossDetectionMillis time from the loss of a machine until the list shows it as left
 * @param pushPeriodMillis time for which changes are collected before they are pushed together
 * @param retainedRevisions maximum number of revisions that a sidecar may be behind and still receive the changes alone
 *     rather than the complete list
 */
public record ListServiceModel(
        Scope scope,
        long callMicros,
        long entryMicros,
        long timeoutMillis,
        int maxCallers,
        long lossDetectionMillis,
        long pushPeriodMillis,
        int retainedRevisions) {

    /** The upstreams in a sidecar's list. */
    public enum Scope {
        /** The upstreams of the services that its application calls. */
        SERVICE,
        /** The upstreams of the whole fleet. */
        FLEET
    }
}
