package slipfield.sim;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import slipfield.config.BadInput;
import slipfield.config.Params;
import slipfield.policy.DeliveryPolicy;

/** Translates between the simulator's line protocol and {@link DeliveryPolicy}, for many instances. Makes no decisions. */
public final class SimulatorAdapter {
    private final BufferedReader in;
    private final PrintStream out;
    private final PrintStream err;
    private final Map<String, DeliveryPolicy> instances = new HashMap<>();
    private final Map<String, Params> settings = new HashMap<>();
    private final Map<Integer, List<DeliveryPolicy.Endpoint>> lists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private double now;

    public SimulatorAdapter(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Serves the protocol on standard input and output until the input ends; returns the exit code of {@link #run}. */
    public static int serve() {
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        return new SimulatorAdapter(System.in, new PrintStream(out, false, StandardCharsets.UTF_8), System.err).run();
    }

    /** Answers batches until the input ends. Returns the exit code: 0, or 1 after invalid or unreadable input. */
    public int run() {
        try {
            for (String line = nextLine(); line != null; line = nextLine()) {
                if (!line.isEmpty()) {
                    batch(new Fields(line));
                }
            }
            return 0;
        } catch (BadInput | IOException e) {
            err.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String nextLine() throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private void batch(Fields head) throws IOException, BadInput {
        head.expect("BATCH");
        now = head.number("clock");
        long batch = head.whole("batch");
        Set<String> touched = new LinkedHashSet<>();
        reply.setLength(0);
        for (String line = nextLine(); !"FLUSH".equals(line); line = nextLine()) {
            if (line == null) {
                throw new BadInput("input ends inside batch " + batch);
            }
            Fields fields = new Fields(line);
            String name = fields.text("event");
            if (name.equals("ROSTER")) {
                roster(fields);
                continue;
            }
            String instance = fields.text("instance");
            if (name.equals("KILLED")) {
                instances.remove(instance);
                touched.remove(instance);
                continue;
            }
            Runnable event = event(name, instance, fields);
            touched.add(instance);
            runGuarded(instance, event);
        }
        for (String instance : touched) {
            runGuarded(instance, () -> policy(instance).endIteration(now));
        }
        out.print(reply);
        out.print("YIELD " + batch + "\n");
        out.flush();
    }

    /** Runs an event; an exception of the policy becomes a BUG line of the reply, with its text on one line. */
    private void runGuarded(String instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            action("BUG", instance, e.toString().replaceAll("\\s+", " "));
        }
    }

    private Runnable event(String name, String instance, Fields f) throws BadInput {
        switch (name) {
            case "SPAWN": {
                long seed = f.whole("entropy");
                Params params = f.pairs();
                DeliveryPolicy.Settings read = params.settings();
                settings.put(instance, params);
                return () -> instances.put(instance, DeliveryPolicy.create(read, seed, new ReplyWriter(instance)));
            }
            case "UPDATE":
                return update(instance, f);
            case "SUBMIT":
                return submit(instance, f);
            case "ATTEMPT_END":
                return attemptEnd(instance, f);
            case "CLIENT_LEFT": {
                long message = f.whole("req");
                return () -> policy(instance).messageWithdrawn(now, message);
            }
            case "TIMER":
                return () -> policy(instance).wake(now);
            case "HEADERS":
            case "CHECK_RESULT":
            case "HEARD":
                return () -> policy(instance).wake(now);
            default:
                throw new BadInput("unknown event " + name);
        }
    }

    private DeliveryPolicy policy(String instance) {
        DeliveryPolicy policy = instances.get(instance);
        if (policy == null) {
            throw new IllegalStateException("event for an instance that does not run: " + instance);
        }
        return policy;
    }

    private void roster(Fields f) throws IOException, BadInput {
        int list = f.index("list");
        long count = f.whole("entries");
        List<DeliveryPolicy.Endpoint> rows = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = nextLine();
            if (line == null) {
                throw new BadInput("input ends inside list " + list);
            }
            Fields row = new Fields(line);
            row.expect("ROW");
            long id = row.whole("endpoint");
            int zone = row.index("failure_domain");
            int kind = row.index("kind");
            long destination = row.whole("belongs_to");
            String condition = row.text("condition");
            double rate = row.numberOr("scale", 0);
            rows.add(new DeliveryPolicy.Endpoint(id, destination, kind, zone, condition.equals("SERVING"), rate,
                    condition.equals("DELETED")));
        }
        lists.put(list, rows);
    }

    private Runnable update(String instance, Fields f) throws BadInput {
        String mode = f.text("mode");
        if (mode.equals("refused")) {
            return () -> policy(instance).wake(now);
        }
        f.text("serial");
        List<DeliveryPolicy.Endpoint> entries = lists.get(f.index("list"));
        if (entries == null) {
            throw new BadInput("UPDATE names a list that was not given");
        }
        boolean whole = switch (mode) {
            case "all", "remembered" -> true;
            case "changes" -> false;
            default -> throw new BadInput("unknown list mode " + mode);
        };
        return () -> policy(instance).endpointsChanged(now, whole, entries);
    }

    private Runnable submit(String instance, Fields f) throws BadInput {
        long id = f.whole("req");
        int messageClass = f.index("kind");
        int tenant = (int) f.numberOr("billing", 0);
        Optional<String> key = f.optional("affinity");
        double left = f.number("time_left_ms");
        f.text("predicted_ms");
        long destination = f.whole("to_dest");
        DeliveryPolicy.Message message = new DeliveryPolicy.Message(id, messageClass, tenant, key, left, destination);
        return () -> policy(instance).messageAccepted(now, message);
    }

    private Runnable attemptEnd(String instance, Fields f) throws BadInput {
        long message = f.whole("req");
        int attempt = f.index("round_no");
        f.text("endpoint");
        DeliveryPolicy.AttemptOutcome outcome = outcome(f.text("state_code"));
        double took = f.number("wait_time_ms");
        boolean finished = f.whole("no_more") != 0;
        double holdMs = f.numberOr("hold_ms", 0);
        double wait = outcome == DeliveryPolicy.AttemptOutcome.FULL ? holdMs : 0;
        DeliveryPolicy.LimitReport reported = limitReport(instance, f.optional("server_stats"));
        DeliveryPolicy.AttemptEnd end = new DeliveryPolicy.AttemptEnd(message, attempt, outcome, took, finished, wait, reported);
        return () -> policy(instance).attemptEnded(now, end);
    }

    private DeliveryPolicy.LimitReport limitReport(String instance, Optional<String> report) throws BadInput {
        String[] values = report.orElse("").split(",");
        Params params = settings.get(instance);
        if (params == null || values[0].isEmpty()) {
            return DeliveryPolicy.LimitReport.NOTHING;
        }
        return new DeliveryPolicy.LimitReport(valueAt(values, params.reportField(Params.REPORTED_RATE)),
                valueAt(values, params.reportField(Params.REPORTED_REMAINING)));
    }

    private static double valueAt(String[] values, int at) throws BadInput {
        return at < 0 || at >= values.length ? Double.NaN : Params.parse(values[at]);
    }

    private static DeliveryPolicy.AttemptOutcome outcome(String code) throws BadInput {
        return switch (code) {
            case "success" -> DeliveryPolicy.AttemptOutcome.DELIVERED;
            case "failure" -> DeliveryPolicy.AttemptOutcome.ERROR;
            case "overloaded" -> DeliveryPolicy.AttemptOutcome.FULL;
            case "timed_out" -> DeliveryPolicy.AttemptOutcome.TIMED_OUT;
            case "unreachable" -> DeliveryPolicy.AttemptOutcome.UNREACHABLE;
            case "broken" -> DeliveryPolicy.AttemptOutcome.BROKEN;
            case "withdrawn" -> DeliveryPolicy.AttemptOutcome.CANCELLED;
            case "void" -> DeliveryPolicy.AttemptOutcome.NOT_SENT;
            default -> throw new BadInput("unknown outcome " + code);
        };
    }

    private void action(String name, String instance, Object... values) {
        reply.append(name).append(' ').append(instance);
        for (Object value : values) {
            reply.append(' ').append(value);
        }
        reply.append('\n');
    }

    /** Writes the actions of one instance as lines of the reply. */
    private final class ReplyWriter implements DeliveryPolicy.Actions {
        private final String instance;

        ReplyWriter(String instance) {
            this.instance = instance;
        }

        @Override
        public void send(long message, long endpoint, DeliveryPolicy.AttemptTiming timing) {
            action("SUBMIT_TO", instance, message, timing.timeoutMs(), endpoint);
        }

        @Override
        public void cancel(long message, int attempt) {
            action("UNDO_SEND", instance, message, attempt);
        }

        @Override
        public void closeIdle(long endpoint) {
            action("HANG_UP", instance, endpoint);
        }

        @Override
        public void refuse(long message, double waitMs) {
            action("BOUNCE", instance, message, waitMs);
        }

        @Override
        public void fail(long message) {
            action("DROP_REQUEST", instance, message);
        }

        @Override
        public void wakeAt(double time) {
            action("NOTIFY_ME", instance, time, 0);
        }

        @Override
        public void log(String text) {
            action("DEBUG", instance, text);
        }
    }

    /** Reads the space-separated fields of one line in order. */
    private static final class Fields {
        private final String line;
        private int at;

        Fields(String line) {
            this.line = line;
        }

        String text(String field) throws BadInput {
            if (at > line.length() || line.isEmpty()) {
                throw new BadInput("field " + field + " is missing");
            }
            int end = line.indexOf(' ', at);
            end = end < 0 ? line.length() : end;
            String part = line.substring(at, end);
            at = end + 1;
            if (part.isEmpty()) {
                throw new BadInput("field " + field + " is empty");
            }
            return part;
        }

        void expect(String word) throws BadInput {
            String found = text("name");
            if (!found.equals(word)) {
                throw new BadInput("expected " + word + ", found " + found);
            }
        }

        Optional<String> optional(String field) throws BadInput {
            String part = text(field);
            return part.equals("-") ? Optional.empty() : Optional.of(part);
        }

        double number(String field) throws BadInput {
            String part = text(field);
            try {
                return Double.parseDouble(part);
            } catch (NumberFormatException e) {
                throw new BadInput("field " + field + " is not a number: " + part);
            }
        }

        double numberOr(String field, double absent) throws BadInput {
            int from = at;
            if (optional(field).isEmpty()) {
                return absent;
            }
            at = from;
            return number(field);
        }

        long whole(String field) throws BadInput {
            String part = text(field);
            try {
                return Long.parseLong(part);
            } catch (NumberFormatException e) {
                throw new BadInput("field " + field + " is not a whole number: " + part);
            }
        }

        int index(String field) throws BadInput {
            long value = whole(field);
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new BadInput("field " + field + " is out of range: " + value);
            }
            return (int) value;
        }

        Params pairs() throws BadInput {
            Map<String, String> values = new HashMap<>();
            while (at < line.length()) {
                String pair = text("setting");
                int cut = pair.indexOf('=');
                if (cut < 1) {
                    throw new BadInput("setting without a value: " + pair);
                }
                values.put(pair.substring(0, cut), pair.substring(cut + 1));
            }
            return new Params(values);
        }
    }
}
