/** Command line of the scale experiments. */
package gradehub.scale;
