/**
 * The sender as a client of other brokers: links that are redialled when they are lost, publishing with confirms, and
 * consuming with manual acknowledgements. May use {@code amqp}, {@code amqp.codec}, {@code amqp.decide}, {@code config} and
 * {@code log}; runs on the core's event loop.
 */
package slipfield.amqp.client;
