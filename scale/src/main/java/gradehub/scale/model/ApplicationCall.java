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

    /** Makes the first try, unless the time of the request that it is for has run out. */
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

    /** Calls are safe to repeat: the application tries again after any failure, as long as there is time. */
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
