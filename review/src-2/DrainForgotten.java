package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** A drain that the sender was told of, a discovery that goes down, and a kill: does the next process keep the drain? */
public final class DrainForgotten {
    private static final double GRACE_MS = 2000 + 50;

    private record Call(double at, String endpoint, String message) {
    }

    private DrainForgotten() {
    }

    /** An endpoint that answers after 250 ms; while it drains it turns new calls away. */
    private static final class Venue extends Lab.Server {
        private final Lab lab;
        private final String id;
        private final List<Call> calls;
        private volatile boolean draining;

        Venue(Lab lab, String id, List<Call> calls) throws IOException {
            super(lab);
            this.lab = lab;
            this.id = id;
            this.calls = calls;
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            double at = lab.now();
            String message = request.field("x-call-id");
            calls.add(new Call(at, id, message));
            lab.note("endpoint " + id + ": call with " + message + (draining ? ", turned away: draining" : ", runs"));
            if (draining) {
                out.write(Lab.Http.answer(503, "", ""));
                return;
            }
            Lab.sleep(250);
            out.write(Lab.Http.answer(200, "", ""));
        }

        Lab.Entry entry() {
            return new Lab.Entry(id, address(), 1, "small-broker", "SERVING", 8.0, 0);
        }
    }

    private static int run(Lab lab) throws Exception {
        List<Call> calls = new CopyOnWriteArrayList<>();
        Venue a = new Venue(lab, "s-a", calls);
        Venue b = new Venue(lab, "s-b", calls);
        Lab.Agent agent = new Lab.Agent(lab, "n1", List.of(a.entry(), b.entry()));
        String settings = Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":2");
        Lab.Sender sender = lab.new Sender("n1", agent, settings);
        sender.start();
        sender.awaitReady(30_000);
        Lab.Client client = new Lab.Client(lab, sender);
        double start = lab.now();
        Lab.thread(() -> {
            for (int i = 0; i < 125; i++) {
                lab.sleepUntil(start + 200 * i);
                client.handIn("m" + i, 1, 24_000);
            }
        });
        lab.sleepUntil(start + 4000);
        a.draining = true;
        agent.change(a.entry().as("DRAINING"));
        lab.sleepUntil(start + 8000);
        Double told = agent.toldAt.get("s-a DRAINING");
        long before = calls.stream().filter(c -> c.endpoint().equals("s-a") && c.at() < start + 4000).count();
        if (told == null || before == 0) {
            lab.say("the drain was not told, or the endpoint was not in use before");
            return Lab.NOT_RUN;
        }
        lab.say(String.format(Locale.ROOT, "s-a had %d calls, and was told to drain at %.0f ms", before, told));
        if (lab.trouble) {
            lab.say("discovery goes down for 8 s");
            agent.down(true);
            lab.sleepUntil(start + 9000);
            sender.kill();
            Lab.sleep(600);
            sender.start();
            sender.awaitReady(30_000);
            lab.sleepUntil(start + 16_000);
            agent.down(false);
            lab.say("discovery is back");
        }
        lab.sleepUntil(start + 27_000);
        List<Call> late = new ArrayList<>(calls);
        late.removeIf(c -> !c.endpoint().equals("s-a") || c.at() <= told + GRACE_MS);
        late.forEach(c -> lab.say(String.format(Locale.ROOT, "call with %s at s-a, %.0f ms after its drain was told",
                c.message(), c.at() - told)));
        return late.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    public static void main(String[] args) {
        Lab.run(args, DrainForgotten::run);
    }
}
