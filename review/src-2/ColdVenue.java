package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A destination with several endpoints that share its capacity. After an outage it is cold: it works at a fifth of its speed, and
 * warms up evenly. It has a few cores and a short queue; what finds the queue full is answered 503. It counts the calls that reach
 * it, as the rule on returning destinations does.
 */
final class ColdVenue {
    /** A call as it came: when, from which sender, at which endpoint. */
    record Call(double at, String sender, String endpoint) {
    }

    private final Lab lab;
    private final int cores;
    private final double workMs;
    private final int queueLimit;
    private final double startShare;
    private final double warmMs;
    private int running;
    private int queued;
    /** The machine is silent: no reset, no answer. */
    private volatile boolean silent;
    private double backAt = Double.NEGATIVE_INFINITY;
    private final List<Call> calls = new ArrayList<>();
    /** When each sender first gave up a call during the outage: from then on it has seen one fail. */
    final Map<String, Double> toldAt = new ConcurrentSkipListMap<>();

    ColdVenue(Lab lab, int cores, double workMs, int queueLimit, double startShare, double warmMs) {
        this.lab = lab;
        this.cores = cores;
        this.workMs = workMs;
        this.queueLimit = queueLimit;
        this.startShare = startShare;
        this.warmMs = warmMs;
    }

    /** Calls a second when it is warm. */
    double capacity() {
        return cores * 1000 / workMs;
    }

    /** The share of its capacity that it has at that time. */
    double shareAt(double time) {
        return time < backAt ? 1 : Math.min(1, startShare + (1 - startShare) * (time - backAt) / warmMs);
    }

    synchronized void outage() {
        silent = true;
        lab.say("the destination is silent");
    }

    synchronized void back() {
        silent = false;
        backAt = lab.now();
        lab.say("the destination is back, cold");
        notifyAll();
    }

    double backAt() {
        return backAt;
    }

    /** One of its endpoints. */
    final class Endpoint extends Lab.Server {
        private final String id;

        Endpoint(String id) throws IOException {
            super(lab);
            this.id = id;
            start();
        }

        @Override
        void answer(Lab.Http request, OutputStream out) throws IOException {
            String message = request.field("x-call-id");
            String sender = message.substring(0, message.indexOf('-'));
            out.write(Lab.Http.answer(serve(id, sender, message), "", ""));
        }

        Lab.Entry entry(long startedAtMs) {
            return new Lab.Entry(id, address(), 1, "small-broker", "SERVING", Math.round(capacity()), startedAtMs);
        }
    }

    private int serve(String endpoint, String sender, String message) throws IOException {
        double at = lab.now();
        synchronized (this) {
            calls.add(new Call(at, sender, endpoint));
        }
        if (silent) {
            lab.note("dest 1 " + endpoint + ": call with " + message + " from " + sender + ", silent");
            while (silent) {
                if (Lab.Server.closedByPeer(10)) {
                    toldAt.putIfAbsent(sender, lab.now());
                    lab.note("dest 1 " + endpoint + ": " + sender + " has given up its call with " + message);
                    break;
                }
            }
            // Connections of the time before are reset when the machine is back.
            throw new IOException("a call of the outage");
        }
        synchronized (this) {
            if (queued >= queueLimit && running >= cores) {
                lab.note("dest 1 " + endpoint + ": call with " + message + " from " + sender + ", 503, queue full");
                return 503;
            }
            queued++;
            try {
                while (running >= cores) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            } finally {
                queued--;
            }
            running++;
            lab.note(String.format(Locale.ROOT, "dest 1 %s: call with %s from %s, runs after %.0f ms", endpoint, message, sender,
                    lab.now() - at));
        }
        Lab.sleep(workMs / shareAt(lab.now()));
        synchronized (this) {
            running--;
            notifyAll();
        }
        return 200;
    }

    /**
     * Whether it fell over: in some time span of {@code fallMs} after its return it got more than N + 2 x root of N + 2 calls (N under
     * 30: N + 3 x root of N + 3), N being {@code multiple} times what it could do in that span, and over two thirds of them came
     * from senders that had been told of the outage.
     */
    synchronized boolean fell(double multiple, double fallMs) {
        for (int last = 0; last < calls.size(); last++) {
            double to = calls.get(last).at();
            // The span begins at the return or later.
            if (to < backAt || to > backAt + warmMs) {
                continue;
            }
            double from = Math.max(backAt, to - fallMs);
            // With the share that it has at the end of the span, and for its whole length, it could do most.
            double n = multiple * capacity() / 1000 * shareAt(from + fallMs) * fallMs;
            double limit = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
            int count = 0;
            int told = 0;
            Map<String, Integer> bySender = new TreeMap<>();
            for (Call c : calls.subList(0, last + 1)) {
                if (c.at() >= from) {
                    count++;
                    told += toldAt.getOrDefault(c.sender(), Double.POSITIVE_INFINITY) < backAt ? 1 : 0;
                    bySender.merge(c.sender(), 1, Integer::sum);
                }
            }
            if (count > limit && 3 * told > 2 * count) {
                lab.say(String.format(Locale.ROOT, "the destination falls %.0f ms after its return: %d calls in %.0f ms, %d of them "
                        + "from senders that were told of the outage; it bears %.1f (N = %.1f); by sender %s", to - backAt, count,
                        to - from, told, limit, n, bySender));
                return true;
            }
        }
        return false;
    }

    /** The calls in each second after the return, for the record. */
    synchronized void tell() {
        Map<Integer, Integer> perSecond = new TreeMap<>();
        calls.stream().filter(c -> c.at() >= backAt && c.at() < backAt + warmMs)
                .forEach(c -> perSecond.merge((int) ((c.at() - backAt) / 1000), 1, Integer::sum));
        lab.say("calls in each second after the return: " + perSecond);
    }
}
