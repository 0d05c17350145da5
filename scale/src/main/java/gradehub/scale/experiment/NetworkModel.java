package gradehub.scale.experiment;

/**
 * One-way delays of messages, and the timeout of connection attempts.
 *
 * @param localMicros delay between an application and its own sidecar
 * @param sameZoneMicros delay between machines of the same zone
 * @param otherZoneMicros delay between zones of the same region
 * @param otherRegionMicros delay between regions
 * @param connectTimeoutMillis time after which a connection attempt fails if the machine does not respond
 */
public record NetworkModel(
        long localMicros,
        long sameZoneMicros,
        long otherZoneMicros,
        long otherRegionMicros,
        long connectTimeoutMillis) {}
