/**
 * Load balancing decisions: which upstream gets each request, and when a request is retried or refused.
 *
 * <p>{@link gradehub.Balancer} is the interface that callers use, {@link gradehub.LoadShiftingBalancer} its
 * implementation. The classes of this package do no I/O and read no clock: the caller passes timestamped events and
 * implements {@link gradehub.Balancer.Actions}.
 */
package gradehub;
