package gradehub.scale.model;

import gradehub.scale.experiment.UpstreamModel;
import java.util.ArrayDeque;

/**
 * What a started upstream can do, and what it can take. Its capacity rises evenly from the cold part to the whole. With
 * N the requests of mean work that are {@code overloadFactor} times its present capacity over the span in question, it
 * falls over when more than N + 2 sqrt(N) + 2 reach it within a span.
 */
final class ColdStart {

    private record Arrival(long atMicros, double requests) {}

    private final UpstreamModel model;
    private final double warmRequestsPerMicro;
    private final long coldMicros;
    private final long windowMicros;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private double requestsInWindow;
    private long startedMicros;
    private long warmMicros;

    ColdStart(UpstreamModel model, double warmRequestsPerMicro) {
        this.model = model;
        this.warmRequestsPerMicro = warmRequestsPerMicro;
        this.coldMicros = model.coldMillis() * SimulationContext.MICROS_PER_MILLI;
        this.windowMicros = model.overloadWindowMillis() * SimulationContext.MICROS_PER_MILLI;
    }

    /** A process starts, cold. */
    void start(long nowMicros) {
        startedMicros = nowMicros;
        warmMicros = nowMicros + coldMicros;
        arrivals.clear();
        requestsInWindow = 0;
    }

    boolean isCold(long nowMicros) {
        return nowMicros < warmMicros;
    }

    /** The part of its whole capacity that it has now. */
    double capacityFraction(long nowMicros) {
        if (!isCold(nowMicros)) {
            return 1;
        }
        return model.coldFrom() + (1 - model.coldFrom()) * (nowMicros - startedMicros) / coldMicros;
    }

    /** Counts a request of this size, in mean ones, and tells the load of the latest span against what it can take. */
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
