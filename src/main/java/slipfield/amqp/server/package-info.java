/**
 * The sender as an AMQP 0-9-1 server: its listener, connections, logins and channels. Publishes and consumers are handed to
 * {@link slipfield.amqp.PublishHandler} and {@link slipfield.amqp.ConsumerHandler}, which a front and a transport
 * implement. May use {@code amqp}, {@code amqp.codec}, {@code amqp.decide}, {@code config}, {@code log},
 * {@code retry} and {@code socket}; runs on the core's loop, accepts connections and checks secrets on threads of their own.
 */
package slipfield.amqp.server;
