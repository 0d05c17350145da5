package gradehub.scale.experiment;

/** A fault or another disturbance that is injected into the fleet. */
public sealed interface Fault {

    /** Simulated time from the start of the run to the start of the fault. */
    double startSeconds();

    /** How long the fault lasts or, for faults that affect one machine after another, how long they are spread over. */
    double durationSeconds();

    /** A fraction of a layer's upstreams answers {@code errorFraction} of their requests with errors. */
    record UpstreamsFail(double startSeconds, double durationSeconds, int layer, double fraction, double errorFraction)
            implements Fault {}

    /** A fraction of a layer's upstreams takes {@code factor} times as long to process each request. */
    record UpstreamsSlow(double startSeconds, double durationSeconds, int layer, double fraction, double factor)
            implements Fault {}

    /** Machines drawn at random stop responding, and return with cold processes when the fault ends. */
    record MachinesLost(double startSeconds, double durationSeconds, int count) implements Fault {}

    /** Planned restarts of upstreams with their sidecars, spread evenly; each is down for {@code downSeconds}. */
    record Restarts(double startSeconds, double durationSeconds, int count, double downSeconds) implements Fault {}

    /** All machines of a zone stop responding, and return with cold processes when the fault ends. */
    record ZoneLost(double startSeconds, double durationSeconds, String zone) implements Fault {}

    /** A network partition cuts a region off from the others. */
    record RegionPartitioned(double startSeconds, double durationSeconds, String region) implements Fault {}

    /** The list service is down. */
    record ListServiceDown(double startSeconds, double durationSeconds) implements Fault {}

    /** The list service moves to another address; the sidecars learn of it one after another, spread evenly. */
    record ConfigurationChange(double startSeconds, double durationSeconds) implements Fault {}
}
