package slipfield.client;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import slipfield.client.decide.End;

/** An order that was submitted. Its end comes once, and never as an exception. */
public final class Submission {
    private final Order order;
    private final CompletableFuture<End> end = new CompletableFuture<>();
    private final Function<Submission, CompletableFuture<Boolean>> cancel;

    Submission(Order order, Function<Submission, CompletableFuture<Boolean>> cancel) {
        this.order = order;
        this.cancel = cancel;
    }

    /** The order. */
    public Order order() {
        return order;
    }

    /** Its one final answer; completing or cancelling this copy changes nothing. */
    public CompletableFuture<End> end() {
        return end.copy();
    }

    /** Calls it off; true: no sender will be asked for it again, though one may be about to answer that it has it. */
    public CompletableFuture<Boolean> cancel() {
        return cancel.apply(this);
    }

    /**
     * Waits for the end.
     *
     * @throws TimeoutException after so many ms: the order is as it was
     */
    public End await(long timeoutMs) throws InterruptedException, TimeoutException {
        try {
            return end.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException("an end is never an exception", e);
        }
    }

    void complete(End answer) {
        end.complete(answer);
    }
}
