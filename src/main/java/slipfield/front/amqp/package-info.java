/**
 * Accepts messages from AMQP publishers and reports their final answers by confirms: frontend and answer channel in one.
 * May use {@code core}, {@code journal}, {@code amqp} and {@code log}.
 */
package slipfield.front.amqp;
