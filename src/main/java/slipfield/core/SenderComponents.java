package slipfield.core;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import slipfield.journal.PendingAnswer;
import slipfield.trace.Trace;

/** What hangs on a core, made for its event loop. The core knows these by their ports only. */
public interface SenderComponents {
    /** Ids of messages that are over are known for so many messages after them. */
    default int rememberedIds() {
        return 4096;
    }

    /** The way to endpoints. */
    Transport transport(EventLoop loop, Transport.AttemptListener ends);

    /** Where final answers go, by the name in a message's claim; {@code heard} is told of each. */
    Map<String, AnswerChannel> answerChannels(EventLoop loop, Consumer<PendingAnswer> heard);

    /** Where endpoints come from; the first one's ids stand as they are, those of others behind its name. */
    Map<String, Directory> directories(EventLoop loop);

    /** The ways in. */
    List<Frontend> frontends(EventLoop loop, MessageIntake desk) throws IOException;

    /** Accounts for its parts' time from now on. */
    void enableTrace(Trace trace);

    /** Makes ready what first messages would find unready, for so many milliseconds at most. */
    void warmUp(EventLoop loop, long mostMs, Runnable then);
}
