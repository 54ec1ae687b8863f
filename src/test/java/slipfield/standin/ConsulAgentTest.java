package slipfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.ecwid.consul.v1.ConsulClient;
import com.ecwid.consul.v1.OperationException;
import com.ecwid.consul.v1.QueryParams;
import com.ecwid.consul.v1.Response;
import com.ecwid.consul.v1.agent.model.NewCheck;
import com.ecwid.consul.v1.agent.model.NewService;
import com.ecwid.consul.v1.catalog.CatalogServicesRequest;
import com.ecwid.consul.v1.health.HealthServicesRequest;
import com.ecwid.consul.v1.health.model.Check;
import com.ecwid.consul.v1.health.model.HealthService;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The stand-in, asked by a client of Consul that is not ours. */
class ConsulAgentTest {
    private final AtomicLong clock = new AtomicLong();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ConsulCluster cluster = new ConsulCluster(clock::get);
    private final ConsulAgent agent = new ConsulAgent(group, cluster);
    private final ConsulClient client = new ConsulClient("127.0.0.1", agent.address().getPort());

    @AfterEach
    void close() {
        agent.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private List<HealthService> health(String name, boolean passing) {
        return client.getHealthServices(name, HealthServicesRequest.newBuilder().setPassing(passing).build()).getValue();
    }

    private void register(String id, int port) {
        NewService service = new NewService();
        service.setId(id);
        service.setName("venue");
        service.setAddress("127.0.0.1");
        service.setPort(port);
        service.setTags(List.of("orders"));
        service.setMeta(Map.of("destination", "7"));
        NewService.Check check = new NewService.Check();
        check.setTtl("10s");
        check.setStatus("passing");
        service.setCheck(check);
        client.agentServiceRegister(service);
    }

    @Test
    void servicesAreRegisteredListedAndTakenOff() {
        register("v1", 9001);
        register("v2", 9002);
        assertEquals(List.of("orders"), client.getCatalogServices(CatalogServicesRequest.newBuilder().build())
                .getValue().get("venue"));
        HealthService first = health("venue", false).get(0);
        assertEquals("v1", first.getService().getId());
        assertEquals(9001, first.getService().getPort());
        assertEquals("7", first.getService().getMeta().get("destination"));
        assertEquals(Check.CheckStatus.PASSING, first.getChecks().get(0).getStatus());
        client.agentServiceDeregister("v1");
        assertEquals(1, health("venue", false).size());
        assertEquals(1, client.getAgentServices().getValue().size());
        assertEquals(404, assertThrows(OperationException.class, () -> client.agentServiceDeregister("v1"))
                .getStatusCode());
    }

    @Test
    void aCheckWithATimeToLiveExpiresAndPassesAgain() throws Exception {
        register("v1", 9001);
        clock.set(10_000);
        Stub.await("it is critical", () -> health("venue", true).isEmpty());
        assertEquals(Check.CheckStatus.CRITICAL, health("venue", false).get(0).getChecks().get(0).getStatus());
        client.agentCheckPass("service:v1");
        assertEquals(1, health("venue", true).size());
        client.agentCheckWarn("service:v1");
        assertEquals(Check.CheckStatus.WARNING, health("venue", false).get(0).getChecks().get(0).getStatus());
        assertThrows(OperationException.class, () -> client.agentCheckPass("service:nobody"));
    }

    @Test
    void maintenanceIsACriticalCheckOfItsOwn() {
        register("v1", 9001);
        client.agentServiceSetMaintenance("v1", true, "patch");
        assertTrue(health("venue", false).get(0).getChecks().stream()
                .anyMatch(c -> c.getCheckId().equals("_service_maintenance:v1")));
        client.agentServiceSetMaintenance("v1", false);
        assertEquals(1, health("venue", false).get(0).getChecks().size());
        assertTrue(cluster.maintenance("", true, ""));
        assertTrue(health("venue", false).get(0).getChecks().stream()
                .anyMatch(c -> c.getCheckId().equals("_node_maintenance")));
    }

    @Test
    void checksOfANodeCountForAllOnIt() {
        register("v1", 9001);
        NewCheck disk = new NewCheck();
        disk.setId("disk");
        disk.setName("disk");
        disk.setTtl("1m30s");
        client.agentCheckRegister(disk);
        assertEquals(0, health("venue", true).size());
        client.agentCheckPass("disk");
        assertEquals(1, health("venue", true).size());
        client.agentCheckDeregister("disk");
        assertEquals(1, health("venue", false).get(0).getChecks().size());
    }

    @Test
    void aBlockingQueryEndsWhenItsOwnAnswerChangesAndNotBefore() throws Exception {
        register("v1", 9001);
        Response<List<HealthService>> now = client.getHealthServices("venue",
                HealthServicesRequest.newBuilder().build());
        CompletableFuture<Response<List<HealthService>>> later = CompletableFuture.supplyAsync(() ->
                client.getHealthServices("venue", HealthServicesRequest.newBuilder()
                        .setQueryParams(new QueryParams(30, now.getConsulIndex())).build()));
        Stub.await("it waits", () -> agent.blocked() == 1);
        cluster.register("other", "o1", "127.0.0.1", 1, List.of(), Map.of());
        assertEquals(1, agent.blocked(), "another service's change is none of its");
        assertTrue(cluster.check("service:v1", "critical"));
        Response<List<HealthService>> next = later.get(20, TimeUnit.SECONDS);
        assertTrue(next.getConsulIndex() > now.getConsulIndex());
        assertEquals(Check.CheckStatus.CRITICAL, next.getValue().get(0).getChecks().get(0).getStatus());
        Stub.await("none waits", () -> agent.blocked() == 0);
    }

    @Test
    void aBlockingQueryEndsByItsWaitWithTheSameIndex() {
        register("v1", 9001);
        long index = client.getHealthServices("venue", HealthServicesRequest.newBuilder().build()).getConsulIndex();
        assertEquals(index, client.getHealthServices("venue", HealthServicesRequest.newBuilder()
                .setQueryParams(new QueryParams(1, index)).build()).getConsulIndex());
    }

    @Test
    void aTokenIsAskedFor() {
        cluster.token("secret");
        assertEquals(403, assertThrows(OperationException.class, () -> health("venue", false)).getStatusCode());
        assertEquals(0, client.getHealthServices("venue", HealthServicesRequest.newBuilder().setToken("secret").build())
                .getValue().size());
    }

    @Test
    void whatLagsSaysSoAndAnIndexGoesBackAfterARestore() {
        register("v1", 9001);
        agent.fault(ConsulAgent.Fault.LAGS);
        client.agentServiceDeregister("v1");
        Response<List<HealthService>> old = client.getHealthServices("venue",
                HealthServicesRequest.newBuilder().build());
        assertEquals(1, old.getValue().size());
        assertTrue(old.getConsulLastContact() >= 10_000);
        agent.fault(ConsulAgent.Fault.NO_LEADER);
        assertEquals(false, client.getHealthServices("venue", HealthServicesRequest.newBuilder().build())
                .isConsulKnownLeader());
        agent.fault(ConsulAgent.Fault.NONE);
        cluster.restore(3);
        assertEquals(3, client.getHealthServices("venue", HealthServicesRequest.newBuilder().build()).getConsulIndex());
    }

    @Test
    void durationsAreReadAsConsulDoes() {
        assertEquals(90_000, ConsulCluster.durationMs("1m30s").orElseThrow());
        assertEquals(250, ConsulCluster.durationMs("250ms").orElseThrow());
        assertTrue(ConsulCluster.durationMs("10").isEmpty());
        assertTrue(ConsulCluster.durationMs("").isEmpty());
        assertTrue(ConsulCluster.durationMs("s10s").isEmpty());
    }
}
