package slipfield.amqp.codec;

/** What a peer is told with {@code channel.close} or {@code connection.close}; its text names the mend. */
public final class AmqpError extends Exception {
    private static final long serialVersionUID = 1;

    private final ReplyCode code;
    private final int classId;
    private final int methodId;

    /** One that no method caused. */
    public AmqpError(ReplyCode code, String text) {
        this(code, text, 0, 0);
    }

    /** One that this method caused. */
    public AmqpError(ReplyCode code, String text, MethodId cause) {
        this(code, text, cause.classId(), cause.methodId());
    }

    AmqpError(ReplyCode code, String text, int classId, int methodId) {
        // Peers cause these at will: no stack is walked for one.
        super(code.name() + " - " + text, null, false, false);
        this.code = code;
        this.classId = classId;
        this.methodId = methodId;
    }

    /** Which. */
    public ReplyCode code() {
        return code;
    }

    /** The class of the method that caused it, or 0. */
    public int classId() {
        return classId;
    }

    /** The method that caused it, or 0. */
    public int methodId() {
        return methodId;
    }
}
