package gradehub.scale.experiment;

/** Something that happens to the fleet; times are in seconds from the start of the run. */
public sealed interface Fault {

    /** When it begins. */
    double atSeconds();

    /** How long it lasts or, for what happens piecemeal, over how long it is spread. */
    double forSeconds();

    /** A part of a layer's upstreams answers errors. */
    record UpstreamsFail(double atSeconds, double forSeconds, int layer, double part, double errorPart)
            implements Fault {}

    /** A part of a layer's upstreams serves slower by a factor. */
    record UpstreamsSlow(double atSeconds, double forSeconds, int layer, double part, double factor) implements Fault {}

    /** Machines fall silent, and come back with a cold process. */
    record MachinesLost(double atSeconds, double forSeconds, int count) implements Fault {}

    /** Planned restarts of upstreams with their sidecars, spread evenly; each is away for a while. */
    record Restarts(double atSeconds, double forSeconds, int count, double downSeconds) implements Fault {}

    /** A zone falls silent, and comes back with cold processes. */
    record ZoneLost(double atSeconds, double forSeconds, String zone) implements Fault {}

    /** A region cannot be reached from the others. */
    record RegionParted(double atSeconds, double forSeconds, String region) implements Fault {}

    /** The list service is down. */
    record ListServiceDown(double atSeconds, double forSeconds) implements Fault {}

    /** The list service moves to another address; sidecars are told so, spread evenly. */
    record ConfigurationChange(double atSeconds, double forSeconds) implements Fault {}
}
