package slipfield.directory.consul;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import slipfield.agent.AgentClient;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.log.Log;

/** Addresses, ACL token and TLS context for connections to Consul's agents. Used on the consul package's event loop. */
final class AgentAccess {
    private static final String TOKEN = "X-Consul-Token";

    private final ConsulSettings settings;
    private final Optional<SslContext> tls;
    private Optional<String> token = Optional.empty();
    private boolean tokenRead;

    AgentAccess(ConsulSettings settings) throws BadInput {
        this.settings = settings;
        this.tls = settings.tls().isPresent() ? Optional.of(context(settings.tls().get())) : Optional.empty();
    }

    private static SslContext context(ConsulSettings.Tls tls) throws BadInput {
        try {
            SslContextBuilder builder = SslContextBuilder.forClient().trustManager(tls.authority().toFile());
            if (tls.certificate().isPresent()) {
                builder.keyManager(tls.certificate().get().toFile(), tls.key().orElseThrow().toFile());
            }
            return builder.build();
        } catch (IOException | IllegalArgumentException e) {
            throw new BadInput("consul.tls: " + e.getMessage());
        }
    }

    ConsulSettings settings() {
        return settings;
    }

    /** Creates a client for the n-th agent, counted round-robin from 0. */
    AgentClient agent(EventLoop loop, int n) {
        InetSocketAddress address = address(n);
        Consumer<Channel> secured = channel -> tls.ifPresent(context -> channel.pipeline()
                .addLast(context.newHandler(channel.alloc(), address.getHostString(), address.getPort())));
        return new AgentClient(loop, address, secured);
    }

    private InetSocketAddress address(int n) {
        List<InetSocketAddress> agents = settings.agents();
        return agents.get(Math.floorMod(n, agents.size()));
    }

    String name(int n) {
        return Config.hostPort(address(n));
    }

    /** Adds the datacenter and namespace parameters, if set. */
    void addScope(QueryStringEncoder query) {
        if (!settings.datacenter().isEmpty()) {
            query.addParam("dc", settings.datacenter());
        }
        if (!settings.namespace().isEmpty()) {
            query.addParam("ns", settings.namespace());
        }
    }

    /** Sets the token header, reading the token file first if necessary. */
    void authorize(FullHttpRequest request) {
        if (!tokenRead) {
            tokenRead = true;
            settings.tokenFile().ifPresent(file -> {
                try {
                    token = Optional.of(Files.readString(file).trim()).filter(t -> !t.isEmpty());
                } catch (IOException e) {
                    Log.warn("consul.token_unreadable", "cause", e);
                }
            });
        }
        token.ifPresent(t -> request.headers().set(TOKEN, t));
    }

    /** Called after a token was refused: its file is read again for the next request, as it may have been replaced. */
    void tokenRefused() {
        tokenRead = false;
    }
}
