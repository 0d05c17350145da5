package gradehub.scale.model;

/** A call that an application makes through its sidecar, with all its tries. */
final class ApplicationCall {

    /** How a sidecar answers a try. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    private final SimulationContext context;
    private final FanOut operation;
    private final ServiceClient client;
    private final long deadlineMicros;
    private int triesLeft;

    ApplicationCall(SimulationContext context, FanOut operation, ServiceClient client, long deadlineMicros, int tries) {
        this.context = context;
        this.operation = operation;
        this.client = client;
        this.deadlineMicros = deadlineMicros;
        this.triesLeft = tries;
    }

    /** Makes the first try, unless the time of the request that it is for has run out. */
    void start(long nowMicros) {
        if (!operation.isLive()) {
            return;
        }
        if (nowMicros >= deadlineMicros) {
            operation.callEnded(nowMicros, false);
            return;
        }
        triesLeft--;
        client.request(nowMicros, this, deadlineMicros, false);
    }

    /** Calls are safe to repeat: the application tries again after any failure, as long as there is time. */
    void answered(long nowMicros, Answer answer) {
        long pauseMicros = context.experiment.calls().retryPauseMillis() * SimulationContext.MICROS_PER_MILLI;
        boolean again = answer != Answer.SERVED && triesLeft > 0 && nowMicros + pauseMicros < deadlineMicros;
        if (!again) {
            operation.callEnded(nowMicros, answer == Answer.SERVED);
        } else if (operation.isLive()) {
            triesLeft--;
            context.queue.scheduleAt(nowMicros + pauseMicros, this::repeat);
        }
    }

    private void repeat(long nowMicros) {
        if (operation.isLive()) {
            context.measurements.callRetried(nowMicros);
            client.request(nowMicros, this, deadlineMicros, true);
        }
    }
}
