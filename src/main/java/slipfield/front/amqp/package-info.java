/**
 * Takes what AMQP publishers hand in, and tells them its end by confirms: a front and the outcome of its messages in one.
 * May use {@code core}, {@code journal}, {@code amqp} and {@code log}.
 */
package slipfield.front.amqp;
