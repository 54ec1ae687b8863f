package slipfield.amqp;

import io.netty.buffer.ByteBuf;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.ContentAssembler;

/** Assembles the contents of one channel from their frames: method, header and body. */
public final class ContentReader {
    private final long maxBodyOctets;
    private final ContentAssembler assembler;
    private Method method;
    private Properties properties;
    private byte[] body;
    private int filled;

    /** {@code maxBodyOctets}: the largest body that is accepted. */
    public ContentReader(long maxBodyOctets) {
        this.maxBodyOctets = maxBodyOctets;
        this.assembler = new ContentAssembler(maxBodyOctets);
    }

    /** Handles a method frame. Throws if the previous content is incomplete. */
    public void method(Method received) throws AmqpError {
        step(assembler.method(received.id().hasContent()), received.id());
        method = received;
    }

    /** Handles a content header. Returns whether the content is complete, as it is with an empty body. */
    public boolean header(Frame.OfHeader header) throws AmqpError {
        boolean complete = step(assembler.header(header.bodySize()), id());
        properties = header.properties();
        body = new byte[(int) header.bodySize()];
        filled = 0;
        return complete;
    }

    /** Handles a part of the body and releases its buffer. Returns whether the content is complete. */
    public boolean body(Frame.OfBody part) throws AmqpError {
        ByteBuf octets = part.octets();
        try {
            int length = octets.readableBytes();
            boolean complete = step(assembler.body(length), id());
            octets.readBytes(body, filled, length);
            filled += length;
            return complete;
        } finally {
            octets.release();
        }
    }

    /** The latest method: that of the content which is complete or being read. */
    public Method method() {
        return method;
    }

    /** The properties of the latest content. */
    public Properties properties() {
        return properties;
    }

    /** Returns the body of the latest content and drops the reference to it. */
    public byte[] takeBody() {
        byte[] taken = body;
        body = null;
        return taken;
    }

    private MethodId id() {
        return method == null ? MethodId.BASIC_PUBLISH : method.id();
    }

    private boolean step(ContentAssembler.Step step, MethodId method) throws AmqpError {
        return switch (step) {
            case UNEXPECTED -> throw new AmqpError(ReplyCode.UNEXPECTED_FRAME, assembler.expected()
                    .map(what -> what + " had to come").orElse("content without its method"), method);
            case OVERRUN -> throw new AmqpError(ReplyCode.FRAME_ERROR, "a body of more octets than its header told", method);
            case TOO_LARGE -> throw new AmqpError(ReplyCode.CONTENT_TOO_LARGE, "a body over " + maxBodyOctets
                    + " octets; the operator's file may allow more (body_octets)", method);
            case INCOMPLETE -> false;
            case COMPLETE -> true;
        };
    }
}
