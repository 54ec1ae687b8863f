package slipfield.core;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import slipfield.journal.PendingAnswer;
import slipfield.trace.Trace;

/** Creates the components around a core, on its event loop. The core knows them only by their ports. */
public interface SenderComponents {
    /** How many ids of ended messages are remembered, to recognise duplicates. */
    default int rememberedIds() {
        return 4096;
    }

    /** The transport to endpoints. */
    Transport transport(EventLoop loop, Transport.AttemptListener listener);

    /** The answer channels, by the name that a message's recipient has for them; each reports acknowledged answers. */
    Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> acknowledged);

    /** The sources of endpoints, by name. Endpoint ids of the first one are used unchanged, others are prefixed with the name. */
    Map<String, Directory> directories(EventLoop loop);

    /** The frontends that accept messages. */
    List<Frontend> frontends(EventLoop loop, MessageIntake intake) throws IOException;

    /** Makes the components account for the time that they use, from now on. */
    void enableTrace(Trace trace);

    /**
     * Loads and warms up the code that the first messages need, for {@code maxMs} milliseconds at most, then runs {@code then}.
     */
    void warmUp(EventLoop loop, long maxMs, Runnable then);
}
