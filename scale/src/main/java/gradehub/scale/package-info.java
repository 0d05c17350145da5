/** Command line interface of the scale model, which simulates a fleet of sidecars. */
package gradehub.scale;
