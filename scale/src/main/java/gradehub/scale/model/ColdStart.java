package gradehub.scale.model;

import gradehub.scale.experiment.UpstreamModel;
import java.util.ArrayDeque;

/**
 * The capacity of an upstream after its start, and the load at which it crashes. Capacity rises linearly from
 * {@code coldFrom} to 1. Let N be {@code overloadFactor} times the number of requests of mean work that can be served
 * in a window at the capacity of its first arrival. The upstream crashes when more than N + 2 sqrt(N) + 2 arrive within
 * the window; the excess over N allows for random variation.
 */
final class ColdStart {

    private record Arrival(long atMicros, double requests) {}

    private final UpstreamModel model;
    private final double warmRequestsPerMicro;
    private final long coldDurationMicros;
    private final long windowMicros;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private double requestsInWindow;
    private long startedMicros;
    private long warmFromMicros;

    ColdStart(UpstreamModel model, double warmRequestsPerMicro) {
        this.model = model;
        this.warmRequestsPerMicro = warmRequestsPerMicro;
        this.coldDurationMicros = model.coldMillis() * SimulationContext.MICROS_PER_MILLI;
        this.windowMicros = model.overloadWindowMillis() * SimulationContext.MICROS_PER_MILLI;
    }

    /** A new process has started and is cold. */
    void start(long nowMicros) {
        startedMicros = nowMicros;
        warmFromMicros = nowMicros + coldDurationMicros;
        arrivals.clear();
        requestsInWindow = 0;
    }

    boolean isCold(long nowMicros) {
        return nowMicros < warmFromMicros;
    }

    /** The current capacity as a fraction of that of a warm upstream. */
    double capacityFraction(long nowMicros) {
        if (!isCold(nowMicros)) {
            return 1;
        }
        return model.coldFrom() + (1 - model.coldFrom()) * (nowMicros - startedMicros) / coldDurationMicros;
    }

    /**
     * Records a request, whose size is given in requests of mean work. Returns the load of the latest window divided by
     * the limit; above 1 the upstream crashes.
     */
    double recordArrival(long nowMicros, double requests) {
        arrivals.add(new Arrival(nowMicros, requests));
        requestsInWindow += requests;
        while (nowMicros - arrivals.peek().atMicros() > windowMicros) {
            requestsInWindow -= arrivals.poll().requests();
        }
        double requestsPerMicro = capacityFraction(arrivals.peek().atMicros()) * warmRequestsPerMicro;
        double nominalLimit = model.overloadFactor() * requestsPerMicro * windowMicros;
        return requestsInWindow / (nominalLimit + 2 * Math.sqrt(nominalLimit) + 2);
    }
}
