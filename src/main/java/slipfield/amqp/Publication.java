package slipfield.amqp;

import slipfield.amqp.codec.Properties;
import slipfield.amqp.decide.RedeliveryRule;

/**
 * A message as it was published.
 *
 * @param tag the delivery tag that a confirm refers to, or 0 outside confirm mode
 * @param origin how it came to this sender
 */
public record Publication(long tag, AmqpConfig.User user, String exchange, String routingKey, Properties properties,
        byte[] body, RedeliveryRule.Origin origin) {
    /** About how much memory it takes, in octets. */
    public long octets() {
        return body.length + properties.octets();
    }
}
