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

/** What a request hands in, checked. */
final class Reading {
    /** Who follows the message's end, where that is set up. */
    private static final String FOLLOWED_BY = "X-Ends-To";
    private static final List<AnswerRecipient> PLATFORM = List.of(AnswerRecipient.PLATFORM);
    /** Between the parts of an envelope. */
    private static final Pattern ENVELOPE = Pattern.compile("[,;\\s]+");
    private static final String DESTINATION = "dest=";
    /** The id goes into the journal and on to endpoints; one that is longer is no id. */
    private static final int LONGEST_ID = 256;

    private final MessageIntake desk;
    private final Optional<AnswerPolling> follow;

    Reading(MessageIntake desk, Optional<AnswerPolling> follow) {
        this.desk = desk;
        this.follow = follow;
    }

    /** The submission in a request to the class that its path names; an error says what is wrong with it. */
    MessageIntake.Submission read(FullHttpRequest request, String inPath) throws BadInput {
        HttpHeaders headers = request.headers();
        String id = required(headers, "X-Call-Id");
        if (id.length() > LONGEST_ID) {
            throw new BadInput("X-Call-Id is too long");
        }
        String messageClass = headers.get("X-Call-Class", inPath);
        if (!messageClass.equals(inPath)) {
            throw new BadInput("the class in the path is another than in X-Call-Class");
        }
        String tenant = headers.get("X-Caller", "");
        if (!desk.knowsTenant(tenant)) {
            throw new BadInput("X-Caller names no tenant");
        }
        Optional<String> key = Optional.ofNullable(headers.get("Idempotency-Key")).filter(k -> !k.isBlank());
        if (key.isEmpty() && desk.needsKey(messageClass)) {
            throw new BadInput("Idempotency-Key is missing");
        }
        long budgetMs = whole(required(headers, "X-Budget-Ms"), "X-Budget-Ms");
        if (budgetMs < 1) {
            throw new BadInput("X-Budget-Ms leaves no time");
        }
        return new MessageIntake.Submission(id, messageClass, tenant, key, destination(headers), budgetMs,
                ByteBufUtil.getBytes(request.content()), claims(headers));
    }

    private List<AnswerRecipient> claims(HttpHeaders headers) throws BadInput {
        String peer = follow.isPresent() ? headers.get(FOLLOWED_BY, "") : "";
        if (peer.length() > LONGEST_ID) {
            throw new BadInput(FOLLOWED_BY + " is too long");
        }
        return peer.isBlank() ? PLATFORM : List.of(AnswerRecipient.PLATFORM, follow.get().recipient(peer));
    }

    private static long destination(HttpHeaders headers) throws BadInput {
        for (String part : ENVELOPE.split(required(headers, "X-Envelope"))) {
            if (part.startsWith(DESTINATION)) {
                return whole(part.substring(DESTINATION.length()), "dest");
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

    private static long whole(String value, String name) throws BadInput {
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
