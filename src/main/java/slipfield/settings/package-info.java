/**
 * Reads operators' files: YAML 1.2, parsed by snakeyaml-engine; each error names its line and column. All such files are read
 * with this package; what their fields mean is defined by its callers. May use {@code config} for its error and its addresses.
 */
package slipfield.settings;
