/**
 * Delivers messages to consumers of AMQP queues, and reports them to the core as a directory. May use {@code core},
 * {@code journal}, the outcomes of {@code policy}, {@code amqp} and {@code log}. Decisions belong in {@code amqp.decide} or
 * {@code policy}.
 */
package slipfield.transport.amqp;
