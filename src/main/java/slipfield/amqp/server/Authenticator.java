package slipfield.amqp.server;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import slipfield.amqp.AmqpConfig;
import slipfield.amqp.Secret;
import slipfield.amqp.decide.LoginThrottle;
import slipfield.log.Log;

/**
 * Checks who logs in. A secret costs CPU to check, on purpose; so it is checked on another thread, and a right one once a
 * life: its MAC under a key of this process stands for it from then on, and equal tries at one time share one check. Else a
 * thousand connections of one user, come back after a restart, would take half a minute and mostly be turned away.
 */
final class Authenticator {
    private static final int CHECKS_AT_ONCE = 1;
    private static final int CHECKS_WAITING = 64;
    private static final int KEY = 32;

    /** What became of a login. */
    enum Answer {
        RIGHT, WRONG,
        /** It was not looked at: too many were at once. */
        TURNED_AWAY
    }

    private record Try(AmqpConfig.User user, Credentials login, List<Consumer<Answer>> waiting) {
    }

    private final EventLoop loop;
    private final Map<String, AmqpConfig.User> users;
    private final Executor checks;
    private final LoginThrottle guard = new LoginThrottle(CHECKS_AT_ONCE, CHECKS_WAITING);
    private final Mac mac;
    /** By name, the MAC of the secret that was right. */
    private final Map<String, byte[]> proven = new HashMap<>();
    /** Being checked or waiting for it, by name and MAC. */
    private final Map<String, Try> tries = new HashMap<>();
    private final Deque<Runnable> waiting = new ArrayDeque<>();

    Authenticator(EventLoop loop, Map<String, AmqpConfig.User> users, Executor checks) {
        this.loop = loop;
        this.users = users;
        this.checks = checks;
        byte[] key = new byte[KEY];
        new SecureRandom().nextBytes(key);
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("a JDK without HmacSHA256", e);
        }
    }

    /** Checks a login; {@code then} is told on the loop, of a wrong one only after a while. */
    void login(Credentials login, Consumer<Answer> then) {
        AmqpConfig.User user = users.get(login.name());
        if (login.password().isEmpty()) {
            then.accept(user == null ? Answer.WRONG : Answer.RIGHT);
            return;
        }
        byte[] code = mac.doFinal(login.password().get().getBytes(StandardCharsets.UTF_8));
        byte[] right = proven.get(login.name());
        if (right != null && MessageDigest.isEqual(right, code)) {
            then.accept(Answer.RIGHT);
            return;
        }
        String key = login.name() + "\0" + HexFormat.of().formatHex(code);
        Try same = tries.get(key);
        if (same != null) {
            same.waiting.add(then);
            return;
        }
        Try fresh = new Try(user, login, new ArrayList<>(List.of(then)));
        switch (guard.admit(login.name())) {
            case CHECK -> {
                tries.put(key, fresh);
                check(key, fresh, code);
            }
            case WAIT -> {
                tries.put(key, fresh);
                waiting.add(() -> {
                    guard.startQueued(login.name());
                    check(key, fresh, code);
                });
            }
            case REJECT -> then.accept(Answer.TURNED_AWAY);
            default -> throw new IllegalStateException();
        }
    }

    private void check(String key, Try one, byte[] code) {
        checks.execute(() -> {
            // An unknown name costs what a known one does: else names could be told by the time that an answer takes.
            boolean known = one.user != null && one.user.secret().isPresent();
            Secret secret = known ? one.user.secret().get() : Nobody.SECRET;
            boolean right = secret.matches(one.login.password().get()) && known;
            loop.execute(() -> checked(key, one, code, right));
        });
    }

    /** Made when it is first needed, and on the thread that needs it. */
    private static final class Nobody {
        private static final Secret SECRET = Secret.of("");
    }

    private void checked(String key, Try one, byte[] code, boolean right) {
        tries.remove(key);
        if (guard.checkFinished()) {
            waiting.pollFirst().run();
        }
        String name = one.login.name();
        if (right) {
            proven.put(name, code);
            one.waiting.forEach(then -> then.accept(Answer.RIGHT));
            return;
        }
        Log.warn("amqp.login_refused", "user", name);
        one.waiting.forEach(then -> loop.schedule(() -> {
            guard.failureAnswered();
            then.accept(Answer.WRONG);
        }, (long) guard.recordFailure(name, System.nanoTime() / 1e6), TimeUnit.MILLISECONDS));
    }
}
