package slipfield.amqp.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.ssl.SslHandler;
import java.nio.charset.StandardCharsets;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Map;
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import slipfield.amqp.codec.AmqpError;
import slipfield.amqp.codec.FieldTables;
import slipfield.amqp.codec.MethodId;
import slipfield.amqp.codec.ReplyCode;

/**
 * The user name and password that a client sends to log in, by SASL PLAIN (RFC 4616), AMQPLAIN (a field table of LOGIN and
 * PASSWORD) or EXTERNAL (RFC 4422; the name is the common name of a client certificate that TLS has verified).
 *
 * @param password absent with EXTERNAL, where the certificate is the proof
 */
record Credentials(String name, Optional<String> password) {
    static final String MECHANISMS = "PLAIN AMQPLAIN";
    static final String EXTERNAL = "EXTERNAL";

    static Credentials read(String mechanism, byte[] response, ChannelHandlerContext ctx) throws AmqpError {
        switch (mechanism) {
            case "PLAIN":
                String[] parts = new String(response, StandardCharsets.UTF_8).split("\0", -1);
                if (parts.length != 3) {
                    throw refused("a PLAIN response is identity, name and password with a zero octet between");
                }
                return new Credentials(parts[1], Optional.of(parts[2]));
            case "AMQPLAIN":
                Map<String, Object> fields = FieldTables.read(response);
                if (!(fields.get("LOGIN") instanceof String name) || !(fields.get("PASSWORD") instanceof String password)) {
                    throw refused("an AMQPLAIN response is a table of LOGIN and PASSWORD");
                }
                return new Credentials(name, Optional.of(password));
            case EXTERNAL:
                return new Credentials(certificateName(ctx), Optional.empty());
            default:
                throw refused("no mechanism '" + mechanism + "'; use PLAIN, AMQPLAIN or EXTERNAL");
        }
    }

    private static AmqpError refused(String text) {
        return new AmqpError(ReplyCode.ACCESS_REFUSED, text, MethodId.CONNECTION_START_OK);
    }

    private static String certificateName(ChannelHandlerContext ctx) throws AmqpError {
        SslHandler tls = ctx.pipeline().get(SslHandler.class);
        if (tls == null) {
            throw refused("EXTERNAL needs TLS and a certificate; connect to the TLS port");
        }
        try {
            Certificate certificate = tls.engine().getSession().getPeerCertificates()[0];
            LdapName subject = new LdapName(((X509Certificate) certificate).getSubjectX500Principal().getName());
            for (Rdn part : subject.getRdns()) {
                if (part.getType().equalsIgnoreCase("CN")) {
                    return part.getValue().toString();
                }
            }
        } catch (SSLPeerUnverifiedException | InvalidNameException e) {
            throw refused("EXTERNAL needs a certificate of the client; none was sent");
        }
        throw refused("the certificate names no CN");
    }
}
