/** Results of runs, their digest, and the CSV files that hold them. */
package gradehub.scale.result;
