package slipfield.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import slipfield.rig.plan.Conditions;
import slipfield.rig.plan.Wire;
import slipfield.standin.PortLease;
import slipfield.standin.TrialWorld;

/**
 * Datagrams between senders, each pair by sockets of its own, so that a sender sees each other one at an address that no third
 * one uses: what goes there goes to that one, and what comes from that one comes from there. One longer than the platform
 * allows is counted and not passed on. All state belongs to the loop.
 */
final class Notes implements AutoCloseable {
    /** The longest that the platform carries, in bytes. */
    static final int LONGEST = 256;

    private final EventLoop loop;
    private final int senders;
    /** Where each sender listens. */
    private final List<PortLease> listens = new ArrayList<>();
    /** By sender and other: where the sender sees the other one. */
    private final Channel[][] seen;
    private final Channel[] all;
    /** By sender and other: from the first to the second. */
    private final Wire[][] wires;
    private final AtomicLong passed = new AtomicLong();
    private final AtomicLong tooLong = new AtomicLong();

    Notes(EventLoop loop, int senders, RandomGenerator random) throws IOException {
        this.loop = loop;
        this.senders = senders;
        this.seen = new Channel[senders][senders];
        this.all = new Channel[senders];
        this.wires = new Wire[senders][senders];
        for (int i = 0; i < senders; i++) {
            listens.add(PortLease.take());
            for (int j = 0; j < senders; j++) {
                int from = i;
                int to = j;
                wires[i][j] = new Wire(random);
                seen[i][j] = open(note -> pass(from, to, note));
            }
            int from = i;
            all[i] = open(note -> {
                for (int to = 0; to < senders; to++) {
                    if (to != from) {
                        pass(from, to, note);
                    }
                }
            });
        }
    }

    private interface Receiver {
        void came(byte[] note);
    }

    private Channel open(Receiver receiver) {
        return new Bootstrap().group(loop).channelFactory(NioDatagramChannel::new)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        byte[] note = new byte[packet.content().readableBytes()];
                        packet.content().readBytes(note);
                        receiver.came(note);
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly().channel();
    }

    private void pass(int from, int to, byte[] note) {
        if (note.length > LONGEST) {
            tooLong.incrementAndGet();
            return;
        }
        double now = System.nanoTime() / 1e6;
        for (double at : wires[from][to].datagram(now)) {
            loop.schedule(() -> {
                passed.incrementAndGet();
                Channel out = seen[to][from];
                out.writeAndFlush(new DatagramPacket(out.alloc().buffer(note.length).writeBytes(note), listens.get(to).address()));
            }, Math.max(0, (long) ((at - now) * 1e6)), TimeUnit.NANOSECONDS);
        }
    }

    /** How a sender finds the others. */
    TrialWorld.Peers peers(int sender) {
        List<InetSocketAddress> each = new ArrayList<>();
        for (int other = 0; other < senders; other++) {
            each.add(other == sender ? listens.get(sender).address() : (InetSocketAddress) seen[sender][other].localAddress());
        }
        return new TrialWorld.Peers(listens.get(sender).address(), each, (InetSocketAddress) all[sender].localAddress());
    }

    /** From now on it is so from one sender to another; on any thread. */
    void set(int from, int to, Conditions now) {
        loop.execute(() -> wires[from][to].conditions(now));
    }

    /** Datagrams that came out so far, twice those that were doubled. */
    long passed() {
        return passed.get();
    }

    /** Datagrams that were longer than the platform carries: each would void a run there. */
    long tooLong() {
        return tooLong.get();
    }

    @Override
    public void close() {
        loop.submit(() -> {
            for (int i = 0; i < senders; i++) {
                all[i].close();
                for (Channel channel : seen[i]) {
                    channel.close();
                }
            }
        }).syncUninterruptibly();
        listens.forEach(PortLease::close);
    }
}
