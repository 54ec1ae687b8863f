package slipfield.front.amqp;

import java.util.List;
import java.util.Optional;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.Properties.Property;
import slipfield.amqp.decide.RoutingTable;
import slipfield.amqp.Publication;
import slipfield.config.BadInput;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;

/** What a publication hands in, checked. */
final class SubmissionReader {
    private static final String KEY = "idempotency-key";
    private static final String TENANT = "tenant";

    private final MessageIntake desk;

    SubmissionReader(MessageIntake desk) {
        this.desk = desk;
    }

    /**
     * The submission in a publication for this target.
     *
     * @param ownId used where it has no message-id: nobody can hand it in again under that one
     */
    MessageIntake.Submission read(Publication p, RoutingTable.Target target, String ownId, AnswerRecipient claim) throws BadInput {
        Properties properties = p.properties();
        String user = properties.text(Property.USER_ID);
        if (!user.isEmpty() && !user.equals(p.user().name())) {
            throw new BadInput("user-id is another than the connection's user; leave it out");
        }
        String id = properties.text(Property.MESSAGE_ID);
        Optional<String> key = header(properties, KEY).or(() -> Optional.of(properties.text(Property.CORRELATION_ID)))
                .filter(k -> !k.isBlank());
        if (key.isEmpty() && desk.needsKey(target.messageClass())) {
            throw new BadInput("class " + target.messageClass() + " needs a key; set correlation-id, or the header " + KEY);
        }
        Optional<String> asked = header(properties, TENANT);
        if (asked.isPresent() && !p.user().tenant().isEmpty() && !asked.get().equals(p.user().tenant())) {
            throw new BadInput("the header tenant is another than the user's; leave it out");
        }
        String tenant = asked.orElse(p.user().tenant());
        if (!desk.knowsTenant(tenant)) {
            throw new BadInput("no tenant '" + tenant + "'; set the header tenant, or the user's in the operator's file");
        }
        return new MessageIntake.Submission(id.isBlank() ? ownId : id, target.messageClass(), tenant, key, target.destination(),
                budgetMs(properties.text(Property.EXPIRATION)), p.body(), List.of(claim));
    }

    private static Optional<String> header(Properties properties, String name) {
        return Optional.ofNullable(properties.headers().get(name)).map(Object::toString);
    }

    /** Without an expiration a message has all the time that its class gives. */
    private static long budgetMs(String expiration) throws BadInput {
        if (expiration.isEmpty()) {
            return Long.MAX_VALUE;
        }
        if (!expiration.matches("[0-9]{1,15}") || Long.parseLong(expiration) == 0) {
            throw new BadInput("expiration is a whole number of milliseconds, 1 or more");
        }
        return Long.parseLong(expiration);
    }
}
