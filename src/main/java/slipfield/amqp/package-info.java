/**
 * AMQP 0-9-1 as fronts and transports see it: the operator's file, what publishes, and what takes deliveries, be it a client
 * of ours or a broker elsewhere. May use {@code amqp.codec}, {@code amqp.decide}, {@code config} and {@code settings}; knows
 * nothing of the core.
 */
package slipfield.amqp;
