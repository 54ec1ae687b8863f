import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import slipfield.client.Client;
import slipfield.client.ClientSettings;
import slipfield.client.Order;
import slipfield.client.Senders;
import slipfield.client.Submission;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;

/** A desk with one sender, which follows its orders to their ends. */
public final class SubmitOrders {
    private SubmitOrders() {
    }

    /** Hands two orders in at the sender that the argument names, such as 127.0.0.1:7070. */
    public static void main(String[] args) throws Exception {
        String[] at = args[0].split(":");
        ClientSettings settings = new ClientSettings("desk-1",
                Senders.of(List.of(new InetSocketAddress(at[0], Integer.parseInt(at[1])))),
                Map.of("order", ClassRule.keyed(10_000), "once", ClassRule.unsafe()),
                Rules.DEFAULT.following(true));
        try (Client client = new Client(settings)) {
            byte[] body = "{\"side\":\"buy\",\"symbol\":\"AKL\",\"quantity\":100}".getBytes(StandardCharsets.UTF_8);
            // Blocking.
            End end = client.submit(new Order("order", "desk", 1, body, Duration.ofSeconds(10))).await(15_000);
            System.out.println(tell(end));
            // Asynchronous.
            Submission second = client.submit(new Order("once", "desk", 1, body, Duration.ofSeconds(10)));
            second.end().thenAccept(e -> System.out.println(tell(e))).join();
        }
    }

    private static String tell(End end) {
        if (end instanceof End.Delivered) {
            return "delivered";
        } else if (end instanceof End.Taken taken) {
            return "with " + taken.sender();
        } else if (end instanceof End.Refused refused) {
            return "never ran; come back after " + refused.comeBackMs() + " ms";
        } else if (end instanceof End.Failed failed) {
            return (failed.mayHaveRun() ? "given up, may have run: " : "never ran: ") + failed.why();
        }
        return "nobody knows: " + ((End.Unknown) end).why();
    }
}
