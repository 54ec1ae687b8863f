/**
 * Adapter to the simulator's line protocol on standard input and output, for many delivery policies in one process. May use
 * {@code policy} and {@code config}.
 */
package slipfield.sim;
