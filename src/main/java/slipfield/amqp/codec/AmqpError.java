package slipfield.amqp.codec;

/** An error that is sent to the peer with {@code channel.close} or {@code connection.close}; the text names a correction. */
public final class AmqpError extends Exception {
    private static final long serialVersionUID = 1;

    private final ReplyCode code;
    private final int classId;
    private final int methodId;

    /** An error that no method caused. */
    public AmqpError(ReplyCode code, String text) {
        this(code, text, 0, 0);
    }

    /** An error that this method caused. */
    public AmqpError(ReplyCode code, String text, MethodId cause) {
        this(code, text, cause.classId(), cause.methodId());
    }

    AmqpError(ReplyCode code, String text, int classId, int methodId) {
        // No stack trace: peers can cause these errors at any rate, and filling in a stack trace is expensive.
        super(code.name() + " - " + text, null, false, false);
        this.code = code;
        this.classId = classId;
        this.methodId = methodId;
    }

    /** The reply code. */
    public ReplyCode code() {
        return code;
    }

    /** The class id of the method that caused the error; 0 if none did. */
    public int classId() {
        return classId;
    }

    /** The id of the method that caused the error, within its class; 0 if none did. */
    public int methodId() {
        return methodId;
    }
}
