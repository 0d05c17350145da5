package gradehub.scale.model;

import gradehub.Balancer.ListKind;
import gradehub.DiscoveryTimeouts;

/** A sidecar's client of the list service. It behaves as the network code's, with the same times. */
final class ListClient {

    private static final long SILENCE_MICROS =
            Math.round(DiscoveryTimeouts.IDLE_TIMEOUT_MS * SimulationContext.MICROS_PER_MILLI);
    private static final double CONNECT_MILLIS = DiscoveryTimeouts.CONNECT_TIMEOUT_MS;

    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private Watch watch;
    private int revision = -1;
    private long heardMicros;
    private long startedMicros;
    /** Whether there has been no watch since an earlier one failed. */
    private boolean lost;
    /** When the sidecar was told of another list service from which it has no list yet, or -1. */
    private long movedMicros = -1;

    ListClient(SimulationContext context, SimulatedSidecar sidecar) {
        this.context = context;
        this.sidecar = sidecar;
    }

    /** The latest revision in hand, or -1. */
    int revision() {
        return revision;
    }

    /** Whether a list has come from the present list service and the watch stands. */
    boolean hasActiveWatch() {
        return watch != null && watch.answered && !lost && movedMicros < 0;
    }

    /** The process starts, with the list that it last had. */
    void start(long nowMicros) {
        startedMicros = nowMicros;
        revision = context.listService.revision();
        lost = false;
        movedMicros = -1;
    }

    /** The process has ended. */
    void stop(long nowMicros) {
        close(nowMicros);
    }

    void subscribe(long nowMicros) {
        close(nowMicros);
        Watch opened = new Watch(this, sidecar.machine(), revision);
        watch = opened;
        heardMicros = nowMicros;
        if (context.listService.reaches(sidecar.machine())) {
            long roundTripAndCall = 3 * context.network.listServiceDelayMicros(sidecar.machine());
            context.queue.scheduleAt(nowMicros + roundTripAndCall, now -> context.listService.call(now, opened));
            context.queue.scheduleAt(nowMicros + SILENCE_MICROS, now -> checkSilence(now, opened));
        } else {
            double millis = Math.min(CONNECT_MILLIS, context.network.model().connectTimeoutMillis());
            context.queue.scheduleAt(
                    nowMicros + Math.round(millis * SimulationContext.MICROS_PER_MILLI), now -> ended(now, opened));
        }
    }

    /** The list service is at another address, whose whole list is asked for. */
    void moveTo(long nowMicros) {
        if (sidecar.isRunning()) {
            movedMicros = nowMicros;
            revision = -1;
            subscribe(nowMicros);
        }
    }

    /** The watch has ended, or could not be opened. */
    void ended(long nowMicros, Watch which) {
        if (which != watch) {
            return;
        }
        close(nowMicros);
        lost = true;
        sidecar.watchFailed(nowMicros);
    }

    /** Something has come over the watch; {@code update} is null for an empty line. */
    void heard(long nowMicros, Watch which, ListUpdate update) {
        if (which != watch) {
            return;
        }
        heardMicros = nowMicros;
        if (update != null) {
            measure(nowMicros, update);
            revision = update.revision();
            sidecar.updateUpstreams(nowMicros, update.complete() ? ListKind.FULL : ListKind.DELTA, update.entries());
        }
    }

    private void measure(long nowMicros, ListUpdate update) {
        long reachableMicros = Math.max(startedMicros, context.listService.reachableSinceMicros(sidecar.machine()));
        if (lost) {
            lost = false;
            context.measurements.watchRestored(nowMicros, nowMicros - reachableMicros);
        }
        if (movedMicros >= 0) {
            context.measurements.listServiceMoved(nowMicros, nowMicros - movedMicros);
            movedMicros = -1;
        }
        long oldest = Long.MAX_VALUE;
        for (ListEntry entry : update.entries()) {
            if (revision >= 0 && entry.revision() > revision) {
                oldest = Math.min(oldest, entry.changedMicros());
            }
        }
        if (oldest < Long.MAX_VALUE) {
            context.measurements.listChangeReceived(nowMicros, nowMicros - Math.max(oldest, reachableMicros));
        }
    }

    private void checkSilence(long nowMicros, Watch which) {
        if (which != watch) {
            return;
        }
        if (nowMicros - heardMicros >= SILENCE_MICROS) {
            ended(nowMicros, which);
        } else {
            context.queue.scheduleAt(heardMicros + SILENCE_MICROS, now -> checkSilence(now, which));
        }
    }

    private void close(long nowMicros) {
        if (watch != null) {
            watch.wanted = false;
            context.listService.closedBySidecar(nowMicros, watch);
            watch = null;
        }
    }
}
