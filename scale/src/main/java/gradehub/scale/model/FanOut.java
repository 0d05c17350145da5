package gradehub.scale.model;

/** The parallel calls to the next layer that serving one request takes. Completes when the last call ends. */
final class FanOut {

    /** Callback for the completion of a fan-out. */
    @FunctionalInterface
    interface CompletionHandler {
        /** All calls have ended; {@code succeeded} is true if each of them was served. */
        void completed(long nowMicros, boolean succeeded);
    }

    private final SimulationContext context;
    private final SimulatedSidecar sidecar;
    private final int incarnation;
    private final CompletionHandler completionHandler;
    private int pendingCalls;
    private boolean anyCallFailed;

    private FanOut(SimulationContext context, SimulatedSidecar sidecar, CompletionHandler completionHandler) {
        this.context = context;
        this.sidecar = sidecar;
        this.incarnation = sidecar.incarnation();
        this.completionHandler = completionHandler;
    }

    /** Starts the calls of the application that runs next to this sidecar; completes at once if there are none. */
    static void start(
            SimulationContext context,
            SimulatedSidecar sidecar,
            long nowMicros,
            long deadlineMicros,
            int maxTries,
            CompletionHandler completionHandler) {
        FanOut fanOut = new FanOut(context, sidecar, completionHandler);
        fanOut.pendingCalls = sidecar.sampleCallCount();
        if (fanOut.pendingCalls == 0) {
            completionHandler.completed(nowMicros, true);
            return;
        }
        long delayMicros = context.network.model().localMicros();
        int callCount = fanOut.pendingCalls;
        for (int i = 0; i < callCount; i++) {
            ServiceClient client = sidecar.pickClient();
            ApplicationCall call = new ApplicationCall(context, fanOut, client, deadlineMicros, maxTries);
            context.measurements.callStarted(nowMicros, sidecar.machine());
            context.queue.scheduleAt(nowMicros + delayMicros, call::start);
        }
    }

    /** Whether the process that started the calls is still running. */
    boolean isProcessAlive() {
        return sidecar.incarnation() == incarnation;
    }

    void callEnded(long nowMicros, boolean served) {
        if (!isProcessAlive()) {
            return;
        }
        anyCallFailed |= !served;
        pendingCalls--;
        if (pendingCalls == 0) {
            completionHandler.completed(nowMicros, !anyCallFailed);
        }
    }
}
