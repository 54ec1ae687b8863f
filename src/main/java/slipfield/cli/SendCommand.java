package slipfield.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import slipfield.client.Client;
import slipfield.client.ClientSettings;
import slipfield.client.ConsulSenders;
import slipfield.client.Order;
import slipfield.client.SenderFile;
import slipfield.client.Senders;
import slipfield.client.Submission;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.Effect;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.config.BadInput;
import slipfield.config.Config;

/** Orders from a file or the command line, by the client library. */
@Command(name = "send", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Hands orders in at senders by the client library, and prints what became of each.",
        footer = {"", "A file of orders has one JSON object a line:",
            "  {\"class\":\"order\",\"tenant\":\"acme\",\"destination\":7,\"body\":\"...\",\"within_ms\":20000,\"key\":\"...\"}",
            "  within_ms and key may be left out: then --within holds, and a key is made."},
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:every order was delivered, or taken where ends are not followed", "1:not so",
            "2:the arguments or the file can't be read: nothing was handed in"})
final class SendCommand implements Callable<Integer> {
    private static final int MOST_OPEN = 5000;
    private static final long PROGRESS_MS = 1000;

    @Spec
    private CommandSpec spec;
    @Option(names = "--to", paramLabel = "HOST:PORT", description = "A sender; may be given again.")
    private List<String> to = new ArrayList<>();
    @Option(names = "--senders", paramLabel = "FILE", description = "A YAML file with a list `senders`, read again as it changes.")
    private Path senders;
    @Option(names = "--consul", paramLabel = "HOST:PORT=SERVICE",
            description = "Senders that are registered in Consul as this service; may be given again for further agents.")
    private Map<String, String> consul = new TreeMap<>();
    @Option(names = "--file", paramLabel = "FILE", description = "Orders, one JSON object a line; - reads standard input.")
    private String file;
    @Option(names = "--class", paramLabel = "CLASS", description = "Of the orders that are given as arguments.")
    private String messageClass;
    @Option(names = "--tenant", paramLabel = "TENANT")
    private String tenant;
    @Option(names = "--destination", paramLabel = "N")
    private Long destination;
    @Option(names = "--within", paramLabel = "MS", defaultValue = "24000",
            description = "An order's time in ms. Default: ${DEFAULT-VALUE}")
    private long withinMs;
    @Option(names = "--rule", paramLabel = "CLASS=RULE", description = "What may be done again with a class: safe, unsafe, or "
            + "keyed:MS with the venue's window. Default: unsafe")
    private Map<String, String> rules = new HashMap<>();
    @Option(names = "--follow", paramLabel = "NAME", description = "Follows the orders to their ends under this name; the "
            + "sender must be set up for it (deploy/clients.yaml).")
    private String follow;
    @Option(names = "--json", description = "One JSON object a line for each order's end.")
    private boolean json;
    @Parameters(paramLabel = "BODY", description = "An order each.")
    private List<String> bodies = new ArrayList<>();

    private final Map<String, Integer> summary = new TreeMap<>();
    private boolean good = true;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<Order> orders;
        ClientSettings settings;
        try {
            orders = orders();
            Map<String, ClassRule> classes = new HashMap<>();
            for (Map.Entry<String, String> rule : rules.entrySet()) {
                classes.put(rule.getKey(), rule(rule.getValue()));
            }
            settings = new ClientSettings(follow == null ? "send" : follow, list(), classes,
                    Rules.DEFAULT.following(follow != null));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        try (Client client = new Client(settings)) {
            send(client, orders);
        }
        PrintWriter err = spec.commandLine().getErr();
        summary.forEach((end, many) -> err.println(end + ": " + many));
        err.flush();
        return good ? 0 : 1;
    }

    private void send(Client client, List<Order> orders) throws InterruptedException {
        Semaphore room = new Semaphore(MOST_OPEN);
        List<Submission> all = new ArrayList<>();
        long toldMs = System.currentTimeMillis();
        for (Order order : orders) {
            room.acquire();
            Submission submission = client.submit(order);
            all.add(submission);
            submission.end().whenComplete((end, never) -> {
                room.release();
                told(order, end);
            });
            long now = System.currentTimeMillis();
            if (now - toldMs >= PROGRESS_MS) {
                toldMs = now;
                spec.commandLine().getErr().println(all.size() + " of " + orders.size() + " handed over, " + client.open() + " open");
                spec.commandLine().getErr().flush();
            }
        }
        all.forEach(s -> s.end().join());
        // All ends are printed when their permits are back.
        room.acquire(MOST_OPEN);
    }

    private synchronized void told(Order order, End end) {
        String name = end.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        String detail = "";
        if (end instanceof End.Refused refused) {
            detail = "come back after " + refused.comeBackMs() + " ms; " + refused.why();
        } else if (end instanceof End.Failed failed) {
            name = failed.mayHaveRun() ? "failed, may have run" : "failed, never ran";
            detail = failed.why();
        } else if (end instanceof End.Unknown unknown) {
            detail = "may have run; " + unknown.why();
        }
        good &= end instanceof End.Delivered || end instanceof End.Taken && follow == null;
        summary.merge(name, 1, Integer::sum);
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            ObjectNode line = JsonMapper.builder().build().createObjectNode().put("key", order.key()).put("end", name);
            out.println(detail.isEmpty() ? line : line.put("detail", detail));
        } else {
            out.println(order.key() + " " + name + (detail.isEmpty() ? "" : ": " + detail));
        }
        out.flush();
    }

    private Senders list() {
        if ((to.isEmpty() ? 0 : 1) + (senders == null ? 0 : 1) + (consul.isEmpty() ? 0 : 1) != 1) {
            throw new IllegalArgumentException("say where senders are: by --to HOST:PORT, --senders FILE or --consul "
                    + "HOST:PORT=SERVICE");
        }
        if (senders != null) {
            return new SenderFile(senders);
        }
        if (!consul.isEmpty()) {
            return new ConsulSenders(addresses("--consul", consul.keySet()), consul.values().iterator().next());
        }
        return Senders.of(addresses("--to", to));
    }

    private static List<InetSocketAddress> addresses(String option, Collection<String> texts) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String at : texts) {
            try {
                addresses.add(Config.address(at));
            } catch (BadInput bad) {
                throw new IllegalArgumentException(option + ": " + bad.getMessage(), bad);
            }
        }
        return addresses;
    }

    private static ClassRule rule(String text) {
        if (text.equals("safe")) {
            return ClassRule.safe();
        }
        if (text.equals("unsafe")) {
            return ClassRule.unsafe();
        }
        if (text.matches("keyed:[0-9]{1,9}")) {
            return new ClassRule(Effect.KEYED, Long.parseLong(text.substring(6)), true);
        }
        throw new IllegalArgumentException("--rule: '" + text + "' is none; write safe, unsafe or keyed:10000");
    }

    private List<Order> orders() throws IOException {
        List<Order> orders = new ArrayList<>();
        if (file == null && bodies.isEmpty() || file != null && !bodies.isEmpty()) {
            throw new IllegalArgumentException("give orders either as arguments or by --file");
        }
        if (file == null) {
            if (messageClass == null || tenant == null || destination == null) {
                throw new IllegalArgumentException("orders as arguments need --class, --tenant and --destination");
            }
            for (String body : bodies) {
                orders.add(new Order(messageClass, tenant, destination, body.getBytes(StandardCharsets.UTF_8),
                        Duration.ofMillis(withinMs)));
            }
            return orders;
        }
        try (BufferedReader lines = file.equals("-")
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(file))) {
            int number = 0;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                number++;
                if (!line.isBlank()) {
                    orders.add(order(file + ":" + number + ": ", line));
                }
            }
        }
        return orders;
    }

    private Order order(String place, String line) {
        try {
            JsonNode json = JsonMapper.builder().build().readTree(line);
            if (!json.path("destination").isIntegralNumber()) {
                throw new IllegalArgumentException("destination is missing, or no whole number");
            }
            return new Order(json.path("class").asText(), json.path("tenant").asText(), json.path("destination").asLong(),
                    json.has("key") ? json.path("key").asText() : Order.newKey(),
                    json.path("body").asText().getBytes(StandardCharsets.UTF_8),
                    Duration.ofMillis(json.path("within_ms").asLong(withinMs)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(place + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(place + e.getMessage(), e);
        }
    }
}
