package slipfield.config;

/** Input that can't be read, in plain words. */
public final class BadInput extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong with it. */
    public BadInput(String text) {
        super(text);
    }
}
