package gradehub.scale.experiment;

/**
 * The list service: one server that handles calls one after another.
 *
 * @param scope which upstreams a sidecar's list holds
 * @param callMicros time that a call takes
 * @param entryMicros time that each entry in its answer adds
 * @param timeoutMillis a call that waits longer fails
 * @param maxCallers watches open at once; more callers are turned away
 * @param lossDetectionMillis from the loss of a machine to its entry in the list
 * @param pushPeriodMillis changes are gathered for this long and pushed together
 * @param retainedRevisions revisions that a watch may be behind and still get changes alone
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

    /** Which upstreams a sidecar's list holds. */
    public enum Scope {
        /** Those of the services that its application calls. */
        SERVICE,
        /** Those of the whole fleet. */
        FLEET
    }
}
