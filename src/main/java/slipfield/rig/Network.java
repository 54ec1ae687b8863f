package slipfield.rig;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Links;
import slipfield.standin.TrialWorld;
import slipfield.standin.Venue;

/** All links between senders and venues, and between senders. */
final class Network implements TrialWorld.Wiring, AutoCloseable {
    private static final int THREADS = 2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final SplittableRandom random;
    private final Map<Integer, Map<Integer, VenueLink>> links = new HashMap<>();
    private final Notes notes;
    private final int senders;

    /** All chance in it comes from the seed. */
    Network(int senders, long seed) throws IOException {
        this.senders = senders;
        this.random = new SplittableRandom(seed);
        this.notes = new Notes(group.next(), senders, random.split());
    }

    @Override
    public synchronized InetSocketAddress venue(int sender, Venue venue) {
        return links.computeIfAbsent(sender, s -> new HashMap<>()).computeIfAbsent(venue.number(), v -> {
            try {
                return new VenueLink(group.next(), venue.address(sender), random.split());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }).address();
    }

    @Override
    public Optional<TrialWorld.Peers> peers(int sender) {
        return Optional.of(notes.peers(sender));
    }

    /** Notes between senders. */
    Notes notes() {
        return notes;
    }

    /** These faults hold from now on, and no others. */
    synchronized void set(Collection<Fault> now) {
        links.forEach((sender, venues) -> venues.forEach((venue, link) -> link.set(
                Links.venue(now, sender, venue, true), Links.venue(now, sender, venue, false), Links.door(now, sender, venue))));
        for (int from = 0; from < senders; from++) {
            for (int to = 0; to < senders; to++) {
                notes.set(from, to, Links.notes(now, from, to));
            }
        }
    }

    @Override
    public void close() {
        links.values().forEach(venues -> venues.values().forEach(VenueLink::close));
        notes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
