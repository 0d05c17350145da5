/**
 * The adapter between the simulator's binary protocol and {@link gradehub.Balancer}.
 *
 * <p>{@link gradehub.benchlink.BenchLink} reads batches of events from an input stream, passes them to the balancers of
 * the simulated sidecars, and writes one reply with their actions for each batch.
 */
package gradehub.benchlink;
