package slipfield.front.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that takes up whoever has connected before it closes. Guards against the system's queue of
 * connections that are made and not accepted yet: closing resets them, with requests in them that were written
 * whole, and a loop that is late leaves some hundred milliseconds of them there.
 */
final class Listener extends NioServerSocketChannel {
    /** Accepts all that wait, and closes at once; on the channel's event loop. */
    void acceptRestAndClose() throws Exception {
        List<Object> rest = new ArrayList<>();
        while (doReadMessages(rest) > 0) {
            // Until none waits.
        }
        close();
        for (Object accepted : rest) {
            pipeline().fireChannelRead(accepted);
        }
    }
}
