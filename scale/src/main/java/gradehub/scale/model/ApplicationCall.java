package gradehub.scale.model;

/** A call that an application makes through its sidecar: the first try and any retries. */
final class ApplicationCall {

    /** The final answer of a sidecar to one try. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    private final SimulationContext context;
    private final FanOut fanOut;
    private final ServiceClient client;
    private final long deadlineMicros;
    private int remainingTries;

    ApplicationCall(SimulationContext context, FanOut fanOut, ServiceClient client, long deadlineMicros, int maxTries) {
        this.context = context;
        this.fanOut = fanOut;
        this.client = client;
        this.deadlineMicros = deadlineMicros;
        this.remainingTries = maxTries;
    }

    /** Makes the first try, or fails the call if the deadline of the enclosing request has passed. */
    void start(long nowMicros) {
        if (!fanOut.isProcessAlive()) {
            return;
        }
        if (nowMicros >= deadlineMicros) {
            fanOut.callEnded(nowMicros, false);
            return;
        }
        remainingTries--;
        client.handleRequest(nowMicros, this, deadlineMicros, false);
    }

    /** All calls are idempotent, so the application retries after any failure while time and tries remain. */
    void answerReceived(long nowMicros, Answer answer) {
        long retryDelayMicros = context.experiment.calls().retryPauseMillis() * SimulationContext.MICROS_PER_MILLI;
        boolean retry = answer != Answer.SERVED && remainingTries > 0 && nowMicros + retryDelayMicros < deadlineMicros;
        if (!retry) {
            fanOut.callEnded(nowMicros, answer == Answer.SERVED);
        } else if (fanOut.isProcessAlive()) {
            remainingTries--;
            context.queue.scheduleAt(nowMicros + retryDelayMicros, this::sendRetry);
        }
    }

    private void sendRetry(long nowMicros) {
        if (fanOut.isProcessAlive()) {
            context.measurements.callRetried(nowMicros);
            client.handleRequest(nowMicros, this, deadlineMicros, true);
        }
    }
}
