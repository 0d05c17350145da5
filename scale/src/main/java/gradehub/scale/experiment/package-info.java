/** Model of an experiment, and the validating reader of experiment files. */
package gradehub.scale.experiment;
