/** The model: decision modules of a whole fleet, with all that surrounds them, on one simulated clock. */
package gradehub.scale.model;
