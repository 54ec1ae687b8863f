package slipfield.client;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import slipfield.standin.ConsulAgent;
import slipfield.standin.ConsulCluster;
import slipfield.standin.Stub;

/** Tests the list of senders from a stand-in for Consul with two agents. */
class ConsulSendersTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ConsulCluster cluster = new ConsulCluster();
    private final ConsulAgent first = new ConsulAgent(group, cluster);
    private final ConsulAgent second = new ConsulAgent(group, cluster);
    private final ConsulSenders senders = new ConsulSenders(List.of(first.address(), second.address()), "slipfield");
    private volatile String last = "";

    @AfterEach
    void close() {
        senders.close();
        first.close();
        second.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void updateList(List<InetSocketAddress> list) {
        last = list.stream().map(a -> Integer.toString(a.getPort())).sorted().collect(Collectors.joining(" "));
    }

    private void await(String ports) throws Exception {
        Stub.await("'" + ports + "', not '" + last + "'", () -> last.equals(ports));
    }

    @Test
    void followsHealthChecksDrainsAndAgentFailures() throws Exception {
        cluster.register("slipfield", "s0", "127.0.0.1", 7000, List.of("sender"), Map.of());
        cluster.register("slipfield", "s1", "127.0.0.1", 7001, List.of("sender"), Map.of());
        senders.start(this::updateList);
        await("7000 7001");
        cluster.check("service:s0", "critical");
        await("7001");
        cluster.check("service:s0", "warning");
        await("7000 7001");
        cluster.register("slipfield", "s1", "127.0.0.1", 7001, List.of("draining"), Map.of());
        await("7000");
        first.close();
        cluster.register("slipfield", "s2", "127.0.0.1", 7002, List.of(), Map.of());
        await("7000 7002");
        cluster.deregister("s0");
        await("7002");
    }
}
