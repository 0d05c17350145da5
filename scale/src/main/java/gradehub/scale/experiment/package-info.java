/** Descriptions of fleets and experiments, and the checked reader of experiment files. */
package gradehub.scale.experiment;
