package gradehub.scale.experiment;

/**
 * One-way delays of messages, and how long a connection attempt to a silent machine lasts.
 *
 * @param localMicros between an application and its own sidecar
 * @param sameZoneMicros between machines of one zone
 * @param otherZoneMicros between zones of one region
 * @param otherRegionMicros between regions
 * @param connectTimeoutMillis until a connection that does not come up is given up
 */
public record NetworkModel(
        long localMicros,
        long sameZoneMicros,
        long otherZoneMicros,
        long otherRegionMicros,
        long connectTimeoutMillis) {}
