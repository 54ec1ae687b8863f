package slipfield.amqp;

import slipfield.amqp.codec.Properties;

/**
 * A message as it was published.
 *
 * @param tag the delivery tag that a confirm refers to, or 0 outside confirm mode
 */
public record Publication(long tag, AmqpConfig.User user, String exchange, String routingKey, Properties properties,
        byte[] body) {
}
