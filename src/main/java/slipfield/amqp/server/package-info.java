/**
 * The sender as an AMQP 0-9-1 server: listener, connections, logins and channels. Publications and consumers are passed to
 * {@link slipfield.amqp.PublishHandler} and {@link slipfield.amqp.ConsumerHandler}, which a frontend and a transport
 * implement. May use {@code amqp}, {@code amqp.codec}, {@code amqp.decide}, {@code config}, {@code log},
 * {@code retry} and {@code socket}. Runs on the core's event loop; accepts connections and checks secrets on separate threads.
 */
package slipfield.amqp.server;
