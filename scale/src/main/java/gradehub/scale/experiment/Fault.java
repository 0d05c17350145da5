package gradehub.scale.experiment;

/** Something that happens to the fleet; times are in seconds from the start of the run. */
public sealed interface Fault {

    /** When it begins. */
    double startSeconds();

    /** How long it lasts or, for what happens piecemeal, over how long it is spread. */
    double durationSeconds();

    /** A part of a layer's upstreams answers errors. */
    record UpstreamsFail(double startSeconds, double durationSeconds, int layer, double fraction, double errorFraction)
            implements Fault {}

    /** A part of a layer's upstreams serves slower by a factor. */
    record UpstreamsSlow(double startSeconds, double durationSeconds, int layer, double fraction, double factor)
            implements Fault {}

    /** Machines fall silent, and come back with a cold process. */
    record MachinesLost(double startSeconds, double durationSeconds, int count) implements Fault {}

    /** Planned restarts of upstreams with their sidecars, spread evenly; each is away for a while. */
    record Restarts(double startSeconds, double durationSeconds, int count, double downSeconds) implements Fault {}

    /** A zone falls silent, and comes back with cold processes. */
    record ZoneLost(double startSeconds, double durationSeconds, String zone) implements Fault {}

    /** A region cannot be reached from the others. */
    record RegionPartitioned(double startSeconds, double durationSeconds, String region) implements Fault {}

    /** The list service is down. */
    record ListServiceDown(double startSeconds, double durationSeconds) implements Fault {}

    /** The list service moves to another address; sidecars are told so, spread evenly. */
    record ConfigurationChange(double startSeconds, double durationSeconds) implements Fault {}
}
