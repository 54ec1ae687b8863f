package slipfield.amqp.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Secret;
import slipfield.amqp.server.Authenticator.Result;

/** Logins whose secrets are checked on another thread. */
class AuthenticatorTest {
    private static final String PASSWORD = "p";

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final Deque<Runnable> checks = new ArrayDeque<>();
    private final List<Result> results = new ArrayList<>();

    private static AmqpConfig.User user(String name, Optional<Secret> secret) {
        return new AmqpConfig.User(name, secret, "", Set.of(), Set.of());
    }

    private void runChecks() {
        while (!checks.isEmpty()) {
            try {
                checks.poll().run();
            } catch (NullPointerException e) {
                // As with a pool, whose thread ends then and is replaced.
            }
            loop.runPendingTasks();
        }
    }

    /** One check that ended without a result kept all later logins waiting until they were cut. */
    @Test
    void aCheckThatFailsHoldsUpNoLaterLogin() {
        // Without a secret the check throws.
        Map<String, AmqpConfig.User> users = Map.of("broken", user("broken", null),
                "usual", user("usual", Optional.of(Secret.of(PASSWORD, 1))));
        Authenticator authenticator = new Authenticator(loop.eventLoop(), users, checks::add);
        authenticator.login(new Credentials("broken", Optional.of(PASSWORD)), results::add);
        authenticator.login(new Credentials("usual", Optional.of(PASSWORD)), results::add);
        runChecks();
        // The waiting check starts before the first login is answered, and ends after that.
        assertEquals(List.of(Result.NOT_CHECKED, Result.ACCEPTED), results);
    }
}
