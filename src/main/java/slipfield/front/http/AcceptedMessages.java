package slipfield.front.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import slipfield.core.MessageIntake;
import slipfield.journal.PendingMessage;

/** Accepted messages whose 202 must wait until they are in the journal. They are written in one batch. */
final class AcceptedMessages {
    private final MessageIntake intake;
    private final List<Accepted> accepted = new ArrayList<>();

    private record Accepted(ClientConnection client, PendingMessage message, boolean keepAlive) {
    }

    AcceptedMessages(MessageIntake intake) {
        this.intake = intake;
    }

    /** Adds a message to the next batch. */
    void add(ClientConnection client, PendingMessage message, boolean keepAlive) {
        accepted.add(new Accepted(client, message, keepAlive));
    }

    /** Whether a message of this connection, or with this id, still waits for the journal. */
    boolean contains(ClientConnection client, String id) {
        for (Accepted a : accepted) {
            if (a.client == client || a.message.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Writes all messages to the journal in one write, and answers their clients. */
    void answer() {
        if (accepted.isEmpty()) {
            return;
        }
        boolean written = intake.writeAccepted();
        List<Accepted> batch = List.copyOf(accepted);
        accepted.clear();
        for (Accepted a : batch) {
            if (written || intake.isRecorded(a.message)) {
                a.client.send(a.keepAlive, HttpAnswers.of(HttpResponseStatus.ACCEPTED, ""))
                        .addListener(f -> intake.acceptanceReported(a.message, f.isSuccess()));
            } else {
                intake.acceptanceReported(a.message, false);
                a.client.send(a.keepAlive, HttpAnswers.of(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room"));
            }
        }
    }
}
