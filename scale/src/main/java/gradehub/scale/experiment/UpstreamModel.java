package gradehub.scale.experiment;

/**
 * How upstreams serve.
 *
 * @param cores requests in work at once
 * @param queueCapacity requests that may wait; more are turned away
 * @param workVariation coefficient of variation of the work of a request (its distribution is log-normal)
 * @param coldFrom part of its capacity with which an upstream starts
 * @param coldMillis until it has its whole capacity, rising evenly
 * @param overloadFactor a cold upstream falls over when it is sent more than this many times its present capacity
 * @param overloadWindowMillis the span in which that is counted
 */
public record UpstreamModel(
        int cores,
        int queueCapacity,
        double workVariation,
        double coldFrom,
        long coldMillis,
        double overloadFactor,
        long overloadWindowMillis) {}
