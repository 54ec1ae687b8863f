/**
 * Operators' files: YAML 1.2, read by snakeyaml-engine, checked with the place of each error. Every such file is read by
 * this package. May use {@code config} for its error and its addresses; what a field means is its reader's affair.
 */
package slipfield.settings;
