package slipfield.config;

/** Input that can't be used; the message says what is wrong, in words for the operator or client who wrote it. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    public BadInput(String text) {
        super(text);
    }
}
