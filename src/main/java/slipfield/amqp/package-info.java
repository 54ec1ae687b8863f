/**
 * AMQP 0-9-1 as fronts and transports see it: the operator's file, the publishers, and the receivers of deliveries, which are
 * clients of this sender or other brokers. May use {@code amqp.codec}, {@code amqp.decide}, {@code config} and
 * {@code settings}; does not depend on the core.
 */
package slipfield.amqp;
