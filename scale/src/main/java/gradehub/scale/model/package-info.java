/**
 * A discrete-event simulation of a whole fleet: the balancers of all sidecars, with their applications, network and
 * list service, on one simulated clock.
 */
package gradehub.scale.model;
