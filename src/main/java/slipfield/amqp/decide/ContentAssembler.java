package slipfield.amqp.decide;

import java.util.Optional;

/**
 * Checks the order of a channel's frames, and when a content is complete: method, header, then body frames up to the size in
 * the header (specification 0-9-1, 4.2.6). It only counts octets; the caller keeps them.
 */
public final class ContentAssembler {
    private enum State {
        METHOD, HEADER, BODY
    }

    private final long maxBody;
    private State state = State.METHOD;
    private long remaining;

    /** The result of one frame. */
    public enum Step {
        /** More frames must follow. */
        INCOMPLETE,
        /** The content is complete. */
        COMPLETE,
        /** The body is longer than allowed: soft error 311. */
        TOO_LARGE,
        /** The frame is not of the expected kind: hard error 505. */
        UNEXPECTED,
        /** The body frames hold more octets than the header announced: hard error 501. */
        OVERRUN
    }

    /** {@code maxBody}: the largest allowed body, in octets. */
    public ContentAssembler(long maxBody) {
        this.maxBody = maxBody;
    }

    /** A method frame came; {@code content}: whether a content follows it. */
    public Step method(boolean content) {
        if (state != State.METHOD) {
            return Step.UNEXPECTED;
        }
        state = content ? State.HEADER : State.METHOD;
        return content ? Step.INCOMPLETE : Step.COMPLETE;
    }

    /** A content header came, with this body size in octets. */
    public Step header(long bodySize) {
        if (state != State.HEADER) {
            return Step.UNEXPECTED;
        }
        if (bodySize > maxBody) {
            return Step.TOO_LARGE;
        }
        remaining = bodySize;
        state = bodySize == 0 ? State.METHOD : State.BODY;
        return bodySize == 0 ? Step.COMPLETE : Step.INCOMPLETE;
    }

    /** A body frame with this number of octets came. */
    public Step body(long octets) {
        if (state != State.BODY) {
            return Step.UNEXPECTED;
        }
        if (octets > remaining) {
            return Step.OVERRUN;
        }
        remaining -= octets;
        if (remaining > 0) {
            return Step.INCOMPLETE;
        }
        state = State.METHOD;
        return Step.COMPLETE;
    }

    /** A description of what must come next, for an error message; empty: a method. */
    public Optional<String> expected() {
        return switch (state) {
            case METHOD -> Optional.empty();
            case HEADER -> Optional.of("a content header");
            case BODY -> Optional.of(remaining + " octets of a body");
        };
    }
}
