/**
 * The decision module: which upstream gets each request, and when a request is retried or refused.
 *
 * <p>{@link gradehub.Balancer} is the interface that callers use, {@link gradehub.LoadShiftingBalancer} its
 * implementation. The classes of this package do no input or output and keep no clock of their own: the caller passes
 * in events with their time and implements {@link gradehub.Balancer.Actions}.
 */
package gradehub;
