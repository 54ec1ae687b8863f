package slipfield.amqp.decide;

import java.util.Optional;

/**
 * A channel's contents from their frames, in the order that specification 0-9-1, 4.2.6 has: method, header, body frames up
 * to the size that the header told. It counts; the octets are kept by whoever asks.
 */
public final class ContentAssembler {
    private enum State {
        METHOD, HEADER, BODY
    }

    private final long mostBody;
    private State state = State.METHOD;
    private long missing;

    /** What became of a frame. */
    public enum Step {
        /** More must come. */
        INCOMPLETE,
        /** The content is whole. */
        COMPLETE,
        /** The body is longer than it may be: soft error 311. */
        TOO_LARGE,
        /** Not the frame that had to come: hard error 505. */
        UNEXPECTED,
        /** The body frames hold more than the header told: hard error 501. */
        OVERRUN
    }

    /** {@code mostBody}: octets of a body at most. */
    public ContentAssembler(long mostBody) {
        this.mostBody = mostBody;
    }

    /** A method came, with or without content behind it. */
    public Step method(boolean content) {
        if (state != State.METHOD) {
            return Step.UNEXPECTED;
        }
        state = content ? State.HEADER : State.METHOD;
        return content ? Step.INCOMPLETE : Step.COMPLETE;
    }

    /** A content header came. */
    public Step header(long bodySize) {
        if (state != State.HEADER) {
            return Step.UNEXPECTED;
        }
        if (bodySize > mostBody) {
            return Step.TOO_LARGE;
        }
        missing = bodySize;
        state = bodySize == 0 ? State.METHOD : State.BODY;
        return bodySize == 0 ? Step.COMPLETE : Step.INCOMPLETE;
    }

    /** A body frame came with so many octets. */
    public Step body(long octets) {
        if (state != State.BODY) {
            return Step.UNEXPECTED;
        }
        if (octets > missing) {
            return Step.OVERRUN;
        }
        missing -= octets;
        if (missing > 0) {
            return Step.INCOMPLETE;
        }
        state = State.METHOD;
        return Step.COMPLETE;
    }

    /** What is awaited, for an error's text. */
    public Optional<String> expected() {
        return switch (state) {
            case METHOD -> Optional.empty();
            case HEADER -> Optional.of("a content header");
            case BODY -> Optional.of(missing + " octets of a body");
        };
    }
}
