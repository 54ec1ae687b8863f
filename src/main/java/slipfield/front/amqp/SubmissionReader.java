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

/** Reads a submission from a publication, and validates it. */
final class SubmissionReader {
    private static final String KEY_HEADER = "idempotency-key";
    private static final String TENANT_HEADER = "tenant";

    private final MessageIntake intake;

    SubmissionReader(MessageIntake intake) {
        this.intake = intake;
    }

    /**
     * Reads the submission from a publication that was routed to this target.
     *
     * @param generatedId the id of a message without message-id; such a message can't be submitted again under its id
     */
    MessageIntake.Submission read(Publication p, RoutingTable.Target target, String generatedId, AnswerRecipient recipient)
            throws BadInput {
        Properties properties = p.properties();
        String user = properties.text(Property.USER_ID);
        if (!user.isEmpty() && !user.equals(p.user().name())) {
            throw new BadInput("user-id is another than the connection's user; leave it out");
        }
        String id = messageId(p);
        Optional<String> key = header(properties, KEY_HEADER).or(() -> Optional.of(properties.text(Property.CORRELATION_ID)))
                .filter(k -> !k.isBlank());
        if (key.isEmpty() && intake.needsKey(target.messageClass())) {
            throw new BadInput("class " + target.messageClass() + " needs a key; set correlation-id, or the header "
                    + KEY_HEADER);
        }
        Optional<String> requestedTenant = header(properties, TENANT_HEADER);
        if (requestedTenant.isPresent() && !p.user().tenant().isEmpty() && !requestedTenant.get().equals(p.user().tenant())) {
            throw new BadInput("the header tenant is another than the user's; leave it out");
        }
        String tenant = requestedTenant.orElse(p.user().tenant());
        if (!intake.knowsTenant(tenant)) {
            throw new BadInput("no tenant '" + tenant + "'; set the header tenant, or the user's in the operator's file");
        }
        return new MessageIntake.Submission(id.isBlank() ? generatedId : id, target.messageClass(), tenant, key,
                target.destination(), budgetMs(properties.text(Property.EXPIRATION)), p.body(), List.of(recipient));
    }

    /** The id under which the message can be published again; blank if it has none. */
    static String messageId(Publication p) {
        return p.properties().text(Property.MESSAGE_ID);
    }

    private static Optional<String> header(Properties properties, String name) {
        return Optional.ofNullable(properties.headers().get(name)).map(Object::toString);
    }

    /** The time for the delivery in ms. Without an expiration only the time of the message's class limits it. */
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
