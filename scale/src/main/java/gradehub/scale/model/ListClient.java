package gradehub.scale.model;

import gradehub.Balancer.ListKind;
import gradehub.DiscoveryTimeouts;

/** A sidecar's client of the list service. It models the discovery client of the real sidecar and uses its timeouts. */
final class ListClient {

    private static final long IDLE_TIMEOUT_MICROS =
            Math.round(DiscoveryTimeouts.IDLE_TIMEOUT_MS * SimulationContext.MICROS_PER_MILLI);
    private static final double CONNECT_TIMEOUT_MILLIS = DiscoveryTimeouts.CONNECT_TIMEOUT_MS;

    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private Watch watch;
    private int revision = -1;
    private long lastReceivedMicros;
    private long startedMicros;
    /** Whether a watch has failed and no update has arrived since. */
    private boolean watchLost;
    /** When the sidecar learned of a new address of the list service, or -1 if no list is awaited from one. */
    private long addressChangedMicros = -1;

    ListClient(SimulationContext context, SimulatedSidecar sidecar) {
        this.context = context;
        this.sidecar = sidecar;
    }

    /** The revision of the latest list received, or -1. */
    int revision() {
        return revision;
    }

    /** Whether the watch has been answered and no list is awaited after a failure or a change of address. */
    boolean hasActiveWatch() {
        return watch != null && watch.answered && !watchLost && addressChangedMicros < 0;
    }

    /** Starts with the cached list of the sidecar, which is taken to be of the current revision. */
    void start(long nowMicros) {
        startedMicros = nowMicros;
        revision = context.listService.revision();
        watchLost = false;
        addressChangedMicros = -1;
    }

    /** Closes the watch when the process ends. */
    void stop(long nowMicros) {
        close(nowMicros);
    }

    void subscribe(long nowMicros) {
        close(nowMicros);
        Watch opened = new Watch(this, sidecar.machine(), revision);
        watch = opened;
        lastReceivedMicros = nowMicros;
        if (context.listService.isReachableFrom(sidecar.machine())) {
            // One round trip to connect, then the call.
            long connectAndCallMicros = 3 * context.network.listServiceDelayMicros(sidecar.machine());
            context.queue.scheduleAt(
                    nowMicros + connectAndCallMicros, now -> context.listService.receiveCall(now, opened));
            context.queue.scheduleAt(nowMicros + IDLE_TIMEOUT_MICROS, now -> checkIdleTimeout(now, opened));
        } else {
            double timeoutMillis =
                    Math.min(CONNECT_TIMEOUT_MILLIS, context.network.model().connectTimeoutMillis());
            context.queue.scheduleAt(
                    nowMicros + Math.round(timeoutMillis * SimulationContext.MICROS_PER_MILLI),
                    now -> watchEnded(now, opened));
        }
    }

    /** Opens a watch at a new address of the list service, where the sidecar asks for the full list. */
    void changeAddress(long nowMicros) {
        if (sidecar.isRunning()) {
            addressChangedMicros = nowMicros;
            revision = -1;
            subscribe(nowMicros);
        }
    }

    /** Handles the end of a watch, or a failure to open it. */
    void watchEnded(long nowMicros, Watch source) {
        if (source != watch) {
            return;
        }
        close(nowMicros);
        watchLost = true;
        sidecar.watchFailed(nowMicros);
    }

    /** Handles data received on a watch; {@code update} is null for a keep-alive. */
    void received(long nowMicros, Watch source, ListUpdate update) {
        if (source != watch) {
            return;
        }
        lastReceivedMicros = nowMicros;
        if (update != null) {
            recordDelays(nowMicros, update);
            revision = update.revision();
            sidecar.updateUpstreams(nowMicros, update.complete() ? ListKind.FULL : ListKind.DELTA, update.entries());
        }
    }

    /** Records how long the sidecar has waited for this update; runs before {@code revision} is set to that of the update. */
    private void recordDelays(long nowMicros, ListUpdate update) {
        long reachableMicros = Math.max(startedMicros, context.listService.reachableSinceMicros(sidecar.machine()));
        if (watchLost) {
            watchLost = false;
            context.measurements.watchRestored(nowMicros, nowMicros - reachableMicros);
        }
        if (addressChangedMicros >= 0) {
            context.measurements.listServiceMoved(nowMicros, nowMicros - addressChangedMicros);
            addressChangedMicros = -1;
        }
        long oldestChangeMicros = Long.MAX_VALUE;
        for (ListEntry entry : update.entries()) {
            if (revision >= 0 && entry.revision() > revision) {
                oldestChangeMicros = Math.min(oldestChangeMicros, entry.changedMicros());
            }
        }
        if (oldestChangeMicros < Long.MAX_VALUE) {
            context.measurements.listChangeReceived(
                    nowMicros, nowMicros - Math.max(oldestChangeMicros, reachableMicros));
        }
    }

    private void checkIdleTimeout(long nowMicros, Watch source) {
        if (source != watch) {
            return;
        }
        if (nowMicros - lastReceivedMicros >= IDLE_TIMEOUT_MICROS) {
            watchEnded(nowMicros, source);
        } else {
            context.queue.scheduleAt(lastReceivedMicros + IDLE_TIMEOUT_MICROS, now -> checkIdleTimeout(now, source));
        }
    }

    private void close(long nowMicros) {
        if (watch != null) {
            watch.openAtSidecar = false;
            context.listService.receiveClose(nowMicros, watch);
            watch = null;
        }
    }
}
