/**
 * The adapter to the simulator's wire: many decision modules on standard input and output. May use {@code policy} and
 * {@code config}.
 */
package slipfield.sim;
