package slipfield.daemon;

import java.io.IOException;
import java.io.Writer;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Date;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority for tests, with certificate files for a server and TLS contexts for clients. */
final class Certificates {
    private static final char[] NO_PASSWORD = new char[0];

    private final KeyPair authority = keys();
    private final X509Certificate root;
    private long serial = 1;

    /** Writes {@code ca.pem}, {@code server.pem} and {@code server.key} into this folder. */
    Certificates(Path folder) throws Exception {
        root = certificate("authority", authority, true);
        KeyPair server = keys();
        write(folder.resolve("ca.pem"), root);
        write(folder.resolve("server.pem"), certificate("localhost", server, false));
        write(folder.resolve("server.key"), server.getPrivate());
    }

    private static KeyPair keys() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(256);
        return generator.generateKeyPair();
    }

    private X509Certificate certificate(String name, KeyPair keyPair, boolean isAuthority) throws Exception {
        Instant now = Instant.now();
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(new X500Name("CN=authority"),
                BigInteger.valueOf(serial++), Date.from(now.minus(1, ChronoUnit.DAYS)),
                Date.from(now.plus(1, ChronoUnit.DAYS)), new X500Name("CN=" + name), keyPair.getPublic());
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(isAuthority));
        return new JcaX509CertificateConverter().getCertificate(builder.build(new JcaContentSignerBuilder("SHA256withECDSA")
                .build(authority.getPrivate())));
    }

    private static void write(Path file, Object content) throws IOException {
        try (Writer writer = Files.newBufferedWriter(file); JcaPEMWriter pem = new JcaPEMWriter(writer)) {
            pem.writeObject(content instanceof PrivateKey key
                    ? new JcaPKCS8Generator(key, null) : content);
        }
    }

    /** The TLS context of a client whose certificate has this common name. */
    SSLContext client(String name) throws Exception {
        KeyPair own = keys();
        KeyStore keys = KeyStore.getInstance("PKCS12");
        keys.load(null, null);
        keys.setKeyEntry("own", own.getPrivate(), NO_PASSWORD, new X509Certificate[] {certificate(name, own, false)});
        KeyManagerFactory keyManagers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagers.init(keys, NO_PASSWORD);
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("root", root);
        TrustManagerFactory trustManagers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trustManagers.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagers.getKeyManagers(), trustManagers.getTrustManagers(), null);
        return context;
    }
}
