package slipfield.amqp;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/** A hashed password in the format of the operator's file, {@code pbkdf2-sha256:ROUNDS:SALT:HASH} (PBKDF2, RFC 8018). */
public record Secret(int rounds, byte[] salt, byte[] hash) {
    private static final String FORMAT = "pbkdf2-sha256";
    private static final int ROUNDS = 210_000;
    private static final int MAX_ROUNDS = 10_000_000;
    private static final int SALT_OCTETS = 16;
    private static final int HASH_BITS = 256;

    /** Parses the format of the operator's file; empty if the text is malformed or its rounds are out of range. */
    public static Optional<Secret> parse(String text) {
        String[] parts = text.split(":", -1);
        try {
            int rounds = parts.length == 4 && parts[0].equals(FORMAT) ? Integer.parseInt(parts[1]) : 0;
            if (rounds < 1 || rounds > MAX_ROUNDS) {
                return Optional.empty();
            }
            Secret secret = new Secret(rounds, Base64.getDecoder().decode(parts[2]), Base64.getDecoder().decode(parts[3]));
            return secret.salt.length == 0 || secret.hash.length != HASH_BITS / 8 ? Optional.empty() : Optional.of(secret);
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** Hashes a password with a random salt. */
    public static Secret of(String password) {
        return of(password, ROUNDS);
    }

    /** The same with this number of rounds. Few rounds are fast and suit only tests, where nobody guesses passwords. */
    public static Secret of(String password, int rounds) {
        byte[] salt = new byte[SALT_OCTETS];
        new SecureRandom().nextBytes(salt);
        return new Secret(rounds, salt, derive(password, rounds, salt));
    }

    /** Whether this is the hash of the password. Expensive on purpose, against guessing: 50 ms of CPU time or more. */
    public boolean matches(String password) {
        return MessageDigest.isEqual(hash, derive(password, rounds, salt));
    }

    private static byte[] derive(String password, int rounds, byte[] salt) {
        try {
            return SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                    .generateSecret(new PBEKeySpec(password.toCharArray(), salt, rounds, HASH_BITS)).getEncoded();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this JDK does not support PBKDF2WithHmacSHA256", e);
        }
    }

    /** The format of the operator's file. */
    @Override
    public String toString() {
        Base64.Encoder base64 = Base64.getEncoder();
        return FORMAT + ":" + rounds + ":" + base64.encodeToString(salt) + ":" + base64.encodeToString(hash);
    }
}
