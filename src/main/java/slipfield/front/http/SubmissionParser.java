package slipfield.front.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import slipfield.config.BadInput;
import slipfield.core.AnswerPolling;
import slipfield.core.MessageIntake;
import slipfield.journal.AnswerRecipient;

/** Reads the submission from an HTTP request and validates it. */
final class SubmissionParser {
    /** Names the client that polls for the final answer; ignored unless polling is enabled. */
    private static final String POLLING_CLIENT = "X-Ends-To";
    private static final List<AnswerRecipient> PLATFORM_ONLY = List.of(AnswerRecipient.PLATFORM);
    /** Separates the parts of {@code X-Envelope}. */
    private static final Pattern ENVELOPE_SEPARATOR = Pattern.compile("[,;\\s]+");
    private static final String DESTINATION_PREFIX = "dest=";
    /** Limit on ids and client names, in characters: ids are written to the journal and sent to endpoints. */
    private static final int MAX_ID_LENGTH = 256;

    private final MessageIntake intake;
    private final Optional<AnswerPolling> polling;

    SubmissionParser(MessageIntake intake, Optional<AnswerPolling> polling) {
        this.intake = intake;
        this.polling = polling;
    }

    /**
     * Returns the submission in a request.
     *
     * @param pathClass the message class in the request's path
     * @throws BadInput if the request is invalid; the client receives its message
     */
    MessageIntake.Submission parse(FullHttpRequest request, String pathClass) throws BadInput {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        if (id.length() > MAX_ID_LENGTH) {
            throw new BadInput("X-Call-Id is too long");
        }
        String messageClass = headers.get("X-Call-Class", pathClass);
        if (!messageClass.equals(pathClass)) {
            throw new BadInput("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!intake.knowsTenant(tenant)) {
            throw new BadInput("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && intake.needsKey(messageClass)) {
            throw new BadInput("Idempotency-Key is missing");
        }
        long budgetMs = wholeNumber(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new BadInput("X-Budget-Ms leaves no time");
        }
        return new MessageIntake.Submission(id, messageClass, tenant, key, destination(headers), budgetMs,
                ByteBufUtil.getBytes(request.content()), recipients(headers));
    }

    private List<AnswerRecipient> recipients(HttpHeaders headers) throws BadInput {
        String peer = polling.isPresent() ? headers.get(POLLING_CLIENT, "") : "";
        if (peer.length() > MAX_ID_LENGTH) {
            throw new BadInput(POLLING_CLIENT + " is too long");
        }
        return peer.isBlank() ? PLATFORM_ONLY : List.of(AnswerRecipient.PLATFORM, polling.get().recipient(peer));
    }

    private static long destination(HttpHeaders headers) throws BadInput {
        for (String part : ENVELOPE_SEPARATOR.split(required(headers, "X-Envelope"))) {
            if (part.startsWith(DESTINATION_PREFIX)) {
                return wholeNumber(part.substring(DESTINATION_PREFIX.length()), "dest");
            }
        }
        throw new BadInput("X-Envelope names no dest");
    }

    private static String required(HttpHeaders headers, String name) throws BadInput {
        String value = headers.get(name);
        if (value == null || value.isBlank()) {
            throw new BadInput(name + " is missing");
        }
        return value;
    }

    private static long wholeNumber(String value, String name) throws BadInput {
        try {
            long number = Long.parseLong(value.trim());
            if (number < 0) {
                throw new BadInput(name + " is negative");
            }
            return number;
        } catch (NumberFormatException e) {
            throw new BadInput(name + " is not a whole number");
        }
    }
}
