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
 * Checks logins. Checking a secret is expensive on purpose, so it runs on another thread. A correct secret is checked once per
 * process; afterwards its MAC, under a random key of this process, is compared instead. Equal logins at the same time share one
 * check. Otherwise 1000 connections of one user that reconnect after a restart would take half a minute, and most of them
 * would be refused.
 */
final class Authenticator {
    private static final int MAX_CHECKS = 1;
    private static final int MAX_WAITING = 64;
    private static final int KEY_OCTETS = 32;

    /** The result of a login. */
    enum Result {
        ACCEPTED, REJECTED,
        /** Not checked, since too many logins were waiting or the check failed. */
        NOT_CHECKED
    }

    private record Check(AmqpConfig.User user, Credentials login, List<Consumer<Result>> callbacks) {
    }

    private final EventLoop loop;
    private final Map<String, AmqpConfig.User> users;
    private final Executor executor;
    private final LoginThrottle throttle = new LoginThrottle(MAX_CHECKS, MAX_WAITING);
    private final Mac mac;
    /** The MAC of the correct secret, by user name. */
    private final Map<String, byte[]> verifiedMacs = new HashMap<>();
    /** Checks that run or wait, by user name and MAC. */
    private final Map<String, Check> checksByKey = new HashMap<>();
    private final Deque<Runnable> waitingChecks = new ArrayDeque<>();

    Authenticator(EventLoop loop, Map<String, AmqpConfig.User> users, Executor executor) {
        this.loop = loop;
        this.users = users;
        this.executor = executor;
        byte[] key = new byte[KEY_OCTETS];
        new SecureRandom().nextBytes(key);
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this JDK does not support HmacSHA256", e);
        }
    }

    /** Checks a login. {@code callback} is called on the event loop, after a delay if the secret is wrong. */
    void login(Credentials login, Consumer<Result> callback) {
        AmqpConfig.User user = users.get(login.name());
        if (login.password().isEmpty()) {
            callback.accept(user == null ? Result.REJECTED : Result.ACCEPTED);
            return;
        }
        byte[] code = mac.doFinal(login.password().get().getBytes(StandardCharsets.UTF_8));
        byte[] verified = verifiedMacs.get(login.name());
        if (verified != null && MessageDigest.isEqual(verified, code)) {
            callback.accept(Result.ACCEPTED);
            return;
        }
        String key = login.name() + "\0" + HexFormat.of().formatHex(code);
        Check same = checksByKey.get(key);
        if (same != null) {
            same.callbacks.add(callback);
            return;
        }
        Check fresh = new Check(user, login, new ArrayList<>(List.of(callback)));
        switch (throttle.admit(login.name())) {
            case CHECK -> {
                checksByKey.put(key, fresh);
                check(key, fresh, code);
            }
            case WAIT -> {
                checksByKey.put(key, fresh);
                waitingChecks.add(() -> {
                    throttle.startQueued(login.name());
                    check(key, fresh, code);
                });
            }
            case REJECT -> callback.accept(Result.NOT_CHECKED);
            default -> throw new IllegalStateException();
        }
    }

    private void check(String key, Check one, byte[] code) {
        executor.execute(() -> {
            Result result;
            try {
                result = matches(one) ? Result.ACCEPTED : Result.REJECTED;
            } catch (RuntimeException e) {
                // Without a result, this login and all that wait behind it would get no answer.
                Log.error("amqp.login_check_failed", "user", one.login.name(), "cause", e);
                result = Result.NOT_CHECKED;
            }
            Result checked = result;
            loop.execute(() -> checked(key, one, code, checked));
        });
    }

    private static boolean matches(Check one) {
        // Unknown names take as long as known ones; otherwise the time to the answer would reveal which names exist.
        boolean known = one.user != null && one.user.secret().isPresent();
        Secret secret = known ? one.user.secret().get() : UnknownUser.SECRET;
        return secret.matches(one.login.password().get()) && known;
    }

    /** Holds a secret for unknown names; computed on first use, on the thread that checks secrets. */
    private static final class UnknownUser {
        private static final Secret SECRET = Secret.of("");
    }

    private void checked(String key, Check one, byte[] code, Result result) {
        checksByKey.remove(key);
        if (throttle.checkFinished()) {
            waitingChecks.pollFirst().run();
        }
        if (result == Result.REJECTED) {
            reject(one);
            return;
        }
        if (result == Result.ACCEPTED) {
            verifiedMacs.put(one.login.name(), code);
        }
        one.callbacks.forEach(callback -> callback.accept(result));
    }

    private void reject(Check one) {
        String name = one.login.name();
        Log.warn("amqp.login_refused", "user", name);
        one.callbacks.forEach(callback -> loop.schedule(() -> {
            throttle.failureAnswered();
            callback.accept(Result.REJECTED);
        }, (long) throttle.recordFailure(name, System.nanoTime() / 1e6), TimeUnit.MILLISECONDS));
    }
}
