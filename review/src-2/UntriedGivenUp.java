package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Orders that may not be repeated are taken on for an endpoint whose connections come up late, and the sender is killed meanwhile: does
 * the next process try what was never tried?
 */
public final class UntriedGivenUp {
    private static final int ORDERS = 4;
    /** Orders for each of the other three destinations. */
    private static final int OTHERS = 5;
    private static final long BUDGET_MS = 24_000;

    private UntriedGivenUp() {
    }

    /** An endpoint that accepts no connection for a while: the system's queue is full, so that new ones come up later. */
    private static final class Venue extends Lab.Server {
        private final Lab lab;
        private final List<Socket> waiting = new ArrayList<>();
        /** When the first call with each message came. */
        final Map<String, Double> calls = new ConcurrentHashMap<>();

        Venue(Lab lab) throws IOException {
            super(lab, 1);
            this.lab = lab;
        }

        /** Fills the queue of connections that are not accepted yet; false if the system goes on making them. */
        boolean fillQueue() throws IOException {
            for (int i = 0; i < 10; i++) {
                Socket s = new Socket();
                try {
                    s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                    waiting.add(s);
                } catch (SocketTimeoutException e) {
                    s.close();
                    return true;
                }
            }
            return false;
        }

        void acceptAll() throws IOException {
            for (Socket s : waiting) {
                s.close();
            }
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            String message = request.field("x-call-id");
            calls.putIfAbsent(message, lab.now());
            lab.note("endpoint s-a: runs " + message);
            Lab.sleep(250);
            out.write(Lab.Http.answer(200, "", ""));
        }
    }

    private static int run(Lab lab) throws Exception {
        Venue venue = new Venue(lab);
        Venue second = new Venue(lab);
        Venue third = new Venue(lab);
        Venue fourth = new Venue(lab);
        second.acceptAll();
        third.acceptAll();
        fourth.acceptAll();
        Lab.Agent agent = new Lab.Agent(lab, "n1",
                List.of(new Lab.Entry("s-a", venue.address(), 1, "small-broker", "SERVING", 20, 0),
                        new Lab.Entry("s-b", second.address(), 2, "small-broker", "SERVING", 20, 0),
                        new Lab.Entry("s-c", third.address(), 3, "small-broker", "SERVING", 20, 0),
                        new Lab.Entry("s-d", fourth.address(), 4, "small-broker", "SERVING", 20, 0)));
        Lab.Sender sender = lab.new Sender("n1", agent, Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":2")
                .replace("\"repeat\":\"keyed\"", "\"repeat\":\"unsafe\""));
        sender.start();
        sender.awaitReady(30_000);
        Lab.sleep(500);
        Lab.Client client = new Lab.Client(lab, sender);
        // Connections to other endpoints come up at once: they are two thirds of all or more.
        for (int dest = 2; dest <= 4; dest++) {
            for (int i = 0; i < OTHERS; i++) {
                client.handIn("d" + dest + "-" + i, dest, BUDGET_MS);
            }
            Lab.sleep(1500);
        }
        int atOnce = second.accepted.get() + third.accepted.get() + fourth.accepted.get();
        if (atOnce < 2 * ORDERS) {
            lab.say("only " + atOnce + " connections came up at once: " + ORDERS + " late ones would be over a third");
            return Lab.NOT_RUN;
        }
        lab.say(atOnce + " connections to other endpoints came up at once");
        if (!lab.trouble) {
            venue.acceptAll();
        } else if (!venue.fillQueue()) {
            lab.say("the system's queue of connections could not be filled");
            return Lab.NOT_RUN;
        } else {
            lab.say("connections to the endpoint come up late from now on");
        }
        for (int i = 0; i < ORDERS; i++) {
            client.handIn("m" + i, 1, BUDGET_MS);
        }
        Lab.sleep(300);
        if (client.answers.size() < 3 * OTHERS + ORDERS || client.answers.values().stream().anyMatch(status -> status != 202)) {
            lab.say("the orders were not taken on: " + client.answers);
            return Lab.NOT_RUN;
        }
        lab.say(ORDERS + " orders were taken on");
        double killed = lab.now();
        if (lab.trouble) {
            sender.kill();
            Lab.sleep(100);
            venue.acceptAll();
            lab.say("connections come up at once again");
            lab.sleepUntil(killed + 600);
            sender.start();
            sender.awaitReady(30_000);
        }
        Lab.sleep(6000);
        int untried = 0;
        int givenUp = 0;
        for (int i = 0; i < ORDERS; i++) {
            String id = "m" + i;
            Double call = venue.calls.get(id);
            Double notice = agent.noticedAt.get(id);
            untried += call == null || call > killed ? 1 : 0;
            if (call == null && notice != null && notice - client.sentAt.get(id) < BUDGET_MS / 2.0) {
                givenUp++;
                lab.say(id + " got the notice " + agent.notices.get(id) + " " + Math.round(notice - client.sentAt.get(id))
                        + " ms after it was handed in, and no call was made with it");
            } else {
                lab.say(id + " call " + call + ", notice " + notice);
            }
        }
        if (lab.trouble && untried < ORDERS) {
            lab.say("only " + untried + " orders were untried when the sender was killed");
            return Lab.NOT_RUN;
        }
        lab.say("given up early with no call: " + givenUp + " of " + ORDERS + " orders");
        return 2 * givenUp > ORDERS ? Lab.BROKEN : Lab.HELD;
    }

    public static void main(String[] args) {
        Lab.run(args, UntriedGivenUp::run);
    }
}
