package slipfield.amqp;

import io.netty.buffer.ByteBuf;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.Frame;
import slipfield.amqp.codec.Method;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.Properties;
import slipfield.amqp.codec.ReplyCode;
import slipfield.amqp.decide.ContentAssembler;

/** A channel's contents, put together from their frames: method, header, body. */
public final class ContentReader {
    private final long mostBody;
    private final ContentAssembler assembly;
    private Method method;
    private Properties properties;
    private byte[] body;
    private int filled;

    /** {@code mostBody}: octets of a body at most. */
    public ContentReader(long mostBody) {
        this.mostBody = mostBody;
        this.assembly = new ContentAssembler(mostBody);
    }

    /** A method came; an error if it cuts a content short. */
    public void method(Method came) throws AmqpError {
        step(assembly.method(came.id().hasContent()), came.id());
        method = came;
    }

    /** A content header came; whether the content is whole by that. */
    public boolean header(Frame.OfHeader header) throws AmqpError {
        boolean whole = step(assembly.header(header.bodySize()), id());
        properties = header.properties();
        body = new byte[(int) header.bodySize()];
        filled = 0;
        return whole;
    }

    /** A part of the body came, whose octets are released here; whether the content is whole by that. */
    public boolean body(Frame.OfBody part) throws AmqpError {
        ByteBuf octets = part.octets();
        try {
            int length = octets.readableBytes();
            boolean whole = step(assembly.body(length), id());
            octets.readBytes(body, filled, length);
            filled += length;
            return whole;
        } finally {
            octets.release();
        }
    }

    /** The method of the content that is whole, or that is being read. */
    public Method method() {
        return method;
    }

    /** Its properties. */
    public Properties properties() {
        return properties;
    }

    /** Its body, which is let go of here. */
    public byte[] take() {
        byte[] whole = body;
        body = null;
        return whole;
    }

    private MethodId id() {
        return method == null ? MethodId.BASIC_PUBLISH : method.id();
    }

    private boolean step(ContentAssembler.Step step, MethodId of) throws AmqpError {
        return switch (step) {
            case UNEXPECTED -> throw new AmqpError(ReplyCode.UNEXPECTED_FRAME, assembly.expected()
                    .map(what -> what + " had to come").orElse("content without its method"), of);
            case OVERRUN -> throw new AmqpError(ReplyCode.FRAME_ERROR, "a body of more octets than its header told", of);
            case TOO_LARGE -> throw new AmqpError(ReplyCode.CONTENT_TOO_LARGE, "a body over " + mostBody
                    + " octets; the operator's file may allow more (body_octets)", of);
            case INCOMPLETE -> false;
            case COMPLETE -> true;
        };
    }
}
