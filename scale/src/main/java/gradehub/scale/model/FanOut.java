package gradehub.scale.model;

/** What an application does for one request: its calls to the next layer, all at once. It ends with the last of them. */
final class FanOut {

    /** Told of the end of an operation. */
    @FunctionalInterface
    interface End {
        /** The operation has ended; it has succeeded if all its calls were served. */
        void ended(long nowMicros, boolean succeeded);
    }

    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private final int life;
    private final End end;
    private int pending;
    private boolean failed;

    private FanOut(SimulationContext context, SimulatedSidecar sidecar, End end) {
        this.context = context;
        this.sidecar = sidecar;
        this.life = sidecar.incarnation();
        this.end = end;
    }

    /** Begins an operation of the application beside this sidecar. */
    static void begin(
            SimulationContext context,
            SimulatedSidecar sidecar,
            long nowMicros,
            long deadlineMicros,
            int tries,
            End end) {
        FanOut operation = new FanOut(context, sidecar, end);
        operation.pending = sidecar.drawCalls();
        if (operation.pending == 0) {
            end.ended(nowMicros, true);
            return;
        }
        long delayMicros = context.network.model().localMicros();
        int calls = operation.pending;
        for (int i = 0; i < calls; i++) {
            ServiceClient client = sidecar.drawClient();
            ApplicationCall call = new ApplicationCall(context, operation, client, deadlineMicros, tries);
            context.measurements.callStarted(nowMicros, sidecar.machine());
            context.queue.scheduleAt(nowMicros + delayMicros, call::start);
        }
    }

    /** Whether the process that it runs in still lives. */
    boolean isLive() {
        return sidecar.incarnation() == life;
    }

    void callEnded(long nowMicros, boolean served) {
        if (!isLive()) {
            return;
        }
        failed |= !served;
        pending--;
        if (pending == 0) {
            end.ended(nowMicros, !failed);
        }
    }
}
