/**
 * Delivers to consumers of AMQP queues, and tells the core of them as a directory. May use {@code core}, {@code journal},
 * {@code policy}'s outcomes, {@code amqp} and {@code log}; decides nothing that {@code amqp.decide} or {@code policy} can.
 */
package slipfield.transport.amqp;
