/**
 * The sender as a client of a broker elsewhere: links that are dialled again, a target that is published to with confirms,
 * a source that is consumed with manual acks. May use {@code amqp}, {@code amqp.codec}, {@code amqp.decide}, {@code config}
 * and {@code log}; runs on the core's loop.
 */
package slipfield.amqp.client;
