package slipfield.cli;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import slipfield.client.Client;
import slipfield.client.ClientSettings;
import slipfield.client.Order;
import slipfield.client.Senders;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.standin.NaiveDesk;
import slipfield.standin.TrialWorld;

/** Desks of one retry habit, measured beside one another: the client library's, or a usual one. */
final class Habits implements AutoCloseable {
    /** Whose habit it is. */
    enum Whose { LIBRARY, FIXED, BACKOFF }

    private static final Map<String, ClassRule> CLASSES = Map.of(TrialWorld.KEYED, ClassRule.keyed(TrialWorld.WINDOW_MS),
            TrialWorld.ONCE, ClassRule.unsafe());

    private final Whose whose;
    private final List<Client> clients = new ArrayList<>();
    private final List<NaiveDesk> naive = new ArrayList<>();
    private final AtomicLong handIns = new AtomicLong();

    /** So many desks with one connection each; {@code connected} hears the number of each whose connection stands. */
    Habits(Whose whose, EventLoopGroup group, InetSocketAddress sender, int desks, IntConsumer connected) {
        this.whose = whose;
        for (int i = 0; i < desks; i++) {
            int number = i;
            if (whose == Whose.LIBRARY) {
                clients.add(new Client(new ClientSettings("desk-" + i, Senders.of(List.of(sender)), CLASSES,
                        Rules.DEFAULT.atMost(1, 1), 1000, 2000, i), group, new Client.Observer() {
                            @Override
                            public void connected(String to) {
                                connected.accept(number);
                            }
                        }));
            } else {
                naive.add(new NaiveDesk(group.next(), sender, NaiveDesk.Habit.valueOf(whose.name()), whose + "-" + i,
                        () -> connected.accept(number), handIns));
            }
        }
    }

    /** Hands an order in at a desk; {@code ended} hears whether a sender has taken it. */
    void submit(int desk, String type, String key, long withinMs, Consumer<Boolean> ended) {
        if (whose == Whose.LIBRARY) {
            clients.get(desk).submit(new Order(type, TrialWorld.TENANT, 1, key, new byte[] {'o'}, Duration.ofMillis(withinMs)))
                    .end().thenAccept(end -> ended.accept(end instanceof End.Taken));
        } else {
            naive.get(desk).submit(type, key, withinMs, ended);
        }
    }

    @Override
    public void close() {
        clients.forEach(Client::close);
        naive.forEach(NaiveDesk::close);
    }
}
