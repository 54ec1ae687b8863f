package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** An outage of a destination, in which one of its endpoints is replaced: how many calls does it get when it is back, cold? */
public final class ReplacedInOutage {
    private static final int SENDERS = 3;
    private static final double FALL_MS = 1500;
    private static final double FALL_MULTIPLE = 2;

    private ReplacedInOutage() {
    }

    /** An endpoint of another destination, without trouble. */
    private static final class Other extends Lab.Server {
        Other(Lab lab) throws IOException {
            super(lab);
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            Lab.sleep(270);
            out.write(Lab.Http.answer(200, "", ""));
        }
    }

    private static int run(Lab lab) throws Exception {
        // 3 cores of 283 ms: 10.6 calls a second; a queue of 8 for each core; cold from a fifth, 12 s until it is warm.
        ColdVenue venue = new ColdVenue(lab, 3, 283, 24, 0.2, 12_000);
        ColdVenue.Endpoint a = venue.new Endpoint("s-a");
        ColdVenue.Endpoint c = venue.new Endpoint("s-c");
        Other other = new Other(lab);
        List<Lab.Entry> first = List.of(a.entry(0),
                new Lab.Entry("s-o", other.address(), 2, "main-venue", "SERVING", 100, 0));
        // At 77.8 messages a second the load is 0.68; at full load a sender keeps 10.3 slots busy, and has 2.2 times as many.
        String settings = Lab.SETTINGS.replace("\"workers\":10", "\"workers\":23").replace("\"max_open\":158", "\"max_open\":390");
        List<Lab.Agent> agents = new ArrayList<>();
        List<Lab.Sender> senders = new ArrayList<>();
        List<Lab.Client> clients = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            Lab.Agent agent = new Lab.Agent(lab, "n" + i, first);
            Lab.Sender sender = lab.new Sender("n" + i, agent, settings.replace("\"me\":0", "\"me\":" + i));
            sender.start();
            agents.add(agent);
            senders.add(sender);
            clients.add(new Lab.Client(lab, sender));
        }
        for (Lab.Sender sender : senders) {
            sender.awaitReady(30_000);
        }
        double start = lab.now();
        double load = 7.8;
        double otherLoad = 70;
        double end = start + 33_000;
        Lab.thread(() -> {
            for (int i = 0; start + 1000 / load * i < end; i++) {
                lab.sleepUntil(start + 1000 / load * i);
                clients.get(i % SENDERS).handIn("n" + i % SENDERS + "-a" + i, 1, 24_000);
            }
        });
        Lab.thread(() -> {
            for (int i = 0; start + 1000 / otherLoad * i < end; i++) {
                lab.sleepUntil(start + 1000 / otherLoad * i);
                clients.get(i % SENDERS).handIn("n" + i % SENDERS + "-o" + i, 2, 24_000);
            }
        });
        // REPLACE=0: the same endpoint comes back, for comparison.
        boolean replace = !"0".equals(System.getenv("REPLACE"));
        lab.sleepUntil(start + 12_000);
        if (lab.trouble) {
            venue.outage();
        }
        lab.sleepUntil(start + 18_000);
        if (replace) {
            for (Lab.Agent agent : agents) {
                agent.change(a.entry(0).as("DELETED"));
            }
        }
        lab.sleepUntil(start + 25_000);
        if (lab.trouble) {
            venue.back();
        }
        long startedAt = System.currentTimeMillis();
        if (replace) {
            lab.sleepUntil(start + 25_600);
            for (Lab.Agent agent : agents) {
                agent.change(c.entry(startedAt));
            }
        }
        lab.sleepUntil(end);
        if (lab.trouble) {
            lab.say("senders that saw a call fail in the outage, and when first: " + venue.toldAt);
            venue.tell();
        }
        return lab.trouble && venue.fell(FALL_MULTIPLE, FALL_MS) ? Lab.BROKEN : Lab.HELD;
    }

    public static void main(String[] args) {
        Lab.run(args, ReplacedInOutage::run);
    }
}
