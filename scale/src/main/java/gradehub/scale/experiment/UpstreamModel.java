package gradehub.scale.experiment;

/**
 * Capacity of upstreams, and their behaviour while they are cold.
 *
 * @param cores number of requests that are processed concurrently
 * @param queueCapacity maximum number of waiting requests; further requests are rejected
 * @param workVariation coefficient of variation of the work per request, which is log-normally distributed
 * @param coldFrom fraction of its full capacity that an upstream has at its start
 * @param coldMillis time from the start until full capacity; in between, the capacity grows linearly
 * @param overloadFactor a cold upstream crashes if the load on it exceeds this multiple of its current capacity, plus
 *     an allowance for random variation
 * @param overloadWindowMillis length of the sliding window over which that load is measured
 */
public record UpstreamModel(
        int cores,
        int queueCapacity,
        double workVariation,
        double coldFrom,
        long coldMillis,
        double overloadFactor,
        long overloadWindowMillis) {}
