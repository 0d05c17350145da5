/** Results of simulation runs, their digest, the CSV files they are written to, and line fits over fleet sizes. */
package gradehub.scale.result;
