package slipfield.client;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import slipfield.client.decide.End;

/** A submitted order. It gets exactly one final answer, which is never an exception. */
public final class Submission {
    private final Order order;
    private final CompletableFuture<End> end = new CompletableFuture<>();
    private final Function<Submission, CompletableFuture<Boolean>> cancel;

    Submission(Order order, Function<Submission, CompletableFuture<Boolean>> cancel) {
        this.order = order;
        this.cancel = cancel;
    }

    /** The order that was submitted. */
    public Order order() {
        return order;
    }

    /** The future final answer. Each call returns a copy, so completing or cancelling it affects neither order nor client. */
    public CompletableFuture<End> end() {
        return end.copy();
    }

    /**
     * Cancels the order. The result is true if it is not submitted to any sender again; a submission in flight may still be
     * accepted. It is false if it was too late.
     */
    public CompletableFuture<Boolean> cancel() {
        return cancel.apply(this);
    }

    /**
     * Waits for the final answer.
     *
     * @throws TimeoutException if there is none after {@code timeoutMs} milliseconds; the order goes on
     */
    public End await(long timeoutMs) throws InterruptedException, TimeoutException {
        try {
            return end.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a final answer must not be an exception", e);
        }
    }

    void complete(End answer) {
        end.complete(answer);
    }
}
