package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send some commands at once on their connections, while the sender is told to end: is each of them answered? */
public final class ManyAtOnce {
    private static final int CONNECTIONS = 4;
    private static final int AT_ONCE = 3;
    private static final int EXCUSED = -1;

    private ManyAtOnce() {
    }

    private static final class Venue extends Lab.Server {
        final List<String> ran = new CopyOnWriteArrayList<>();
        private final Lab lab;

        Venue(Lab lab) throws IOException {
            super(lab);
            this.lab = lab;
            start();
        }

        @Override
        void answer(Lab.Http request, java.io.OutputStream out) throws IOException {
            ran.add(request.field("x-call-id"));
            lab.note("endpoint s-a: runs " + request.field("x-call-id"));
            Lab.sleep(250);
            out.write(Lab.Http.answer(200, "", ""));
        }
    }

    private static int run(Lab lab) throws Exception {
        Venue venue = new Venue(lab);
        Lab.Agent agent = new Lab.Agent(lab, "n1",
                List.of(new Lab.Entry("s-a", venue.address(), 1, "small-broker", "SERVING", 40, 0)));
        Lab.Sender sender = lab.new Sender("n1", agent, Lab.SETTINGS.replace("\"fleet_size\":3", "\"fleet_size\":2"));
        sender.start();
        sender.awaitReady(30_000);
        Map<String, Integer> answers = new TreeMap<>();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            sockets.add(sender.connect());
        }
        // Each connection is in use before, as those of a front are.
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < CONNECTIONS; i++) {
                send(lab, sockets.get(i), "r" + round + "c" + i, answers);
            }
            Lab.sleep(700);
        }
        if (answers.values().stream().anyMatch(status -> status <= 0)) {
            lab.say("a request had no answer before the trouble");
            return Lab.NOT_RUN;
        }
        if (lab.trouble) {
            sender.signal("TERM");
        }
        Lab.sleep(1200);
        for (int i = 0; i < CONNECTIONS; i++) {
            send(lab, sockets.get(i), "last-c" + i, answers);
        }
        Lab.sleep(3700 - 1200);
        if (lab.trouble) {
            if (sender.alive()) {
                sender.kill();
            }
            Lab.sleep(600);
            sender.start();
            sender.awaitReady(30_000);
            Lab.sleep(2500);
        }
        List<String> lost = new ArrayList<>();
        answers.forEach((id, status) -> {
            if (status == 0) {
                lost.add(id);
            }
        });
        for (String id : lost) {
            lab.say("lost: " + id + " was written to an open connection, which was ended with no answer to it; it "
                    + (venue.ran.contains(id) ? "ran" : "did not run") + ", notices " + agent.notices.get(id));
        }
        return lost.isEmpty() ? Lab.HELD : Lab.BROKEN;
    }

    /** Writes some requests at once, and reads until all are answered or the connection ends; 0 for one without an answer. */
    private static void send(Lab lab, Socket socket, String name, Map<String, Integer> answers) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < AT_ONCE; i++) {
            String id = name + "-" + i;
            answers.put(id, 0);
            all.append(Lab.Client.request(id, 1, 24_000, "order"));
        }
        AtomicInteger next = new AtomicInteger();
        try {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(all.toString().getBytes(StandardCharsets.ISO_8859_1));
            lab.note("client: " + AT_ONCE + " requests " + name + " written");
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (next.get() < AT_ONCE) {
                Lab.Http answer = Lab.Http.read(in);
                if (answer == null) {
                    lab.note("client: " + name + ": the connection ended after " + next.get() + " answers");
                    return;
                }
                String id = name + "-" + next.getAndIncrement();
                answers.put(id, answer.status());
                lab.note("client: " + id + " answered " + answer.status() + " " + answer.field("connection"));
            }
        } catch (IOException e) {
            // A reset: the sender may not have read what has no answer, and the client would send that once more.
            answers.replaceAll((id, status) -> id.startsWith(name + "-") && status == 0 ? EXCUSED : status);
            lab.note("client: " + name + ": " + e + " after " + next.get() + " answers");
        }
    }

    public static void main(String[] args) {
        Lab.run(args, ManyAtOnce::run);
    }
}
