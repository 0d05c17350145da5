/**
 * The network side of the sidecar: client and upstream connections, service discovery, timers, reload and shutdown.
 *
 * <p>It takes no routing decision: it reports events to a {@link gradehub.Balancer} on a single event loop and carries
 * out the {@link gradehub.Balancer.Actions} that the balancer calls.
 */
package gradehub.node;
