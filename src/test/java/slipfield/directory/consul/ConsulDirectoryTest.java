package slipfield.directory.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slipfield.config.BadInput;
import slipfield.config.Config;
import slipfield.membership.Instance;
import slipfield.membership.Status;
import slipfield.settings.Section;
import slipfield.settings.SettingsFile;
import slipfield.standin.ConsulAgent;
import slipfield.standin.ConsulCluster;
import slipfield.standin.Stub;

/** Consul as a source of endpoints, against a simulated cluster with two agents. */
class ConsulDirectoryTest {
    @TempDir
    Path folder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ConsulCluster cluster = new ConsulCluster();
    private final ConsulAgent first = new ConsulAgent(group, cluster);
    private final ConsulAgent second = new ConsulAgent(group, cluster);
    private final RecordingListener listener = new RecordingListener();
    private ConsulDirectory directory;

    private static final class RecordingListener implements ConsulDirectory.Listener {
        private final List<List<Instance>> lists = new CopyOnWriteArrayList<>();
        private final List<String> errors = new CopyOnWriteArrayList<>();
        private final AtomicInteger confirmed = new AtomicInteger();

        @Override
        public void instancesChanged(List<Instance> whole) {
            lists.add(whole);
        }

        @Override
        public void confirmed() {
            confirmed.incrementAndGet();
        }

        @Override
        public void failed(String why) {
            errors.add(why);
        }

        /** The statuses of the last list by instance id. */
        Map<String, Status> last() {
            Map<String, Status> last = new TreeMap<>();
            if (!lists.isEmpty()) {
                lists.get(lists.size() - 1).forEach(i -> last.put(i.id().substring(i.id().lastIndexOf('/') + 1), i.status()));
            }
            return last;
        }
    }

    @BeforeEach
    void register() {
        for (int i = 0; i < 3; i++) {
            cluster.register("venue", "v" + i, "127.0.0.1", 9000 + i, List.of("orders"), Map.of("destination", "7"));
        }
    }

    @AfterEach
    void close() {
        if (directory != null) {
            directory.close();
        }
        first.close();
        second.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(String more, ConsulAgent... agents) throws Exception {
        start(more, List.of(), agents);
    }

    private void start(String more, List<Instance> recalled, ConsulAgent... agents) throws Exception {
        List<String> at = new ArrayList<>();
        for (ConsulAgent agent : agents) {
            at.add("'" + Config.hostPort(agent.address()) + "'");
        }
        directory = new ConsulDirectory(ConsulSettings.read(
                yaml("{agents: " + at + ", wait: 300ms" + more + "}")));
        directory.start(recalled, listener);
    }

    private Section yaml(String text) throws Exception {
        return SettingsFile.read(folder.resolve("members.yaml"), text);
    }

    private void await(Map<String, Status> last) throws Exception {
        Stub.await(last + ", not " + listener.last() + " " + listener.errors, () -> listener.last().equals(last));
    }

    private static Map<String, Status> all(Status v0) {
        return Map.of("v0", v0, "v1", Status.PASSING, "v2", Status.PASSING);
    }

    private static final String VENUE = ", services: [{name: venue}]";

    @Test
    void healthChangesAreReported() throws Exception {
        start(VENUE, first);
        await(all(Status.PASSING));
        Instance v0 = listener.lists.get(0).get(0);
        assertEquals(new Instance("venue/node-1/v0", "127.0.0.1:9000", 7, "", "", 1, Status.PASSING), v0);
        cluster.check("service:v0", "warning");
        await(all(Status.WARNING));
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
        cluster.check("service:v0", "passing");
        await(all(Status.PASSING));
        cluster.maintenance("v0", true, "patch");
        await(all(Status.DRAINING));
        cluster.maintenance("v0", false, "");
        await(all(Status.PASSING));
        cluster.maintenance("", true, "");
        await(Map.of("v0", Status.DRAINING, "v1", Status.DRAINING, "v2", Status.DRAINING));
    }

    @Test
    void anUnchangedListIsConfirmed() throws Exception {
        start(VENUE, first);
        Stub.await("it is confirmed", () -> listener.confirmed.get() >= 3);
        assertEquals(1, listener.lists.size());
        assertEquals(1, directory.queryCount());
    }

    @Test
    void tagsAndMetadataSetTheAttributesOfAnInstance() throws Exception {
        cluster.register("other", "o", "127.0.0.2", 9100, List.of("dest=8", "draining"),
                Map.of("kind", "big", "zone", "b", "weight", "2.5"));
        cluster.register("other", "lost", "127.0.0.2", 9101, List.of(), Map.of());
        cluster.register("other", "odd", "127.0.0.2", 9102, List.of("dest=8"), Map.of("weight", "-1"));
        start(", services: [{name: other, kind: m, zone: a}]", first);
        Stub.await("a list", () -> !listener.lists.isEmpty());
        assertEquals(List.of(new Instance("other/node-1/o", "127.0.0.2:9100", 8, "big", "b", 2.5, Status.DRAINING)),
                listener.lists.get(0), "instances without destination or with an invalid weight are left out");
    }

    @Test
    void aServiceThatGetsTheTagLaterIsWatched() throws Exception {
        start(", tag: orders", first);
        await(all(Status.PASSING));
        cluster.register("late", "l", "127.0.0.1", 9200, List.of("orders"), Map.of("destination", "9"));
        Stub.await("it is there", () -> listener.last().containsKey("l"));
        cluster.deregister("l");
        await(all(Status.PASSING));
    }

    @ParameterizedTest
    @EnumSource(value = ConsulAgent.Fault.class, names = {"HANG", "ERROR", "TRUNCATED", "HUGE", "LAGS", "NO_LEADER",
        "REDIRECT", "SHAPE", "CLOSES"})
    void afterAFaultTheNextAgentIsAskedAndTheAnswerIsDiscarded(ConsulAgent.Fault fault) throws Exception {
        start(VENUE, first, second);
        await(all(Status.PASSING));
        first.fault(fault);
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
        assertTrue(second.asked() > 0 || listener.errors.isEmpty());
        cluster.check("service:v0", "passing");
        await(all(Status.PASSING));
        for (List<Instance> list : listener.lists) {
            assertEquals(3, list.size());
        }
    }

    @ParameterizedTest
    @EnumSource(value = ConsulAgent.Fault.class, names = {"HANG", "ERROR", "TRUNCATED", "HUGE", "LAGS", "NO_LEADER",
        "REDIRECT", "SHAPE", "CLOSES"})
    void whileAllAgentsFailOnlyErrorsAreReportedAndAgentsAreRetried(ConsulAgent.Fault fault) throws Exception {
        start(VENUE, first);
        await(all(Status.PASSING));
        first.fault(fault);
        Stub.await("errors are reported", () -> listener.errors.size() >= 3);
        assertEquals(1, listener.lists.size());
        int confirmed = listener.confirmed.get();
        assertTrue(listener.errors.get(0).startsWith("venue: " + Config.hostPort(first.address())),
                listener.errors.get(0));
        first.fault(ConsulAgent.Fault.NONE);
        Stub.await("it is confirmed again", () -> listener.confirmed.get() > confirmed);
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
    }

    @Test
    void theOperatorsFilterIsSent() throws Exception {
        cluster.register("venue", "v3", "127.0.0.1", 9003, List.of("spare"), Map.of("destination", "7"));
        start(VENUE + ", filter: '\"orders\" in Service.Tags'", first);
        await(all(Status.PASSING));
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
    }

    @Test
    void aRejectedFilterIsReported() throws Exception {
        start(VENUE + ", filter: nonsense", first);
        Stub.await("the rejection is reported", () -> listener.errors.stream().anyMatch(t -> t.contains("answered 400")));
    }

    @Test
    void whileNothingChangesNoListIsSent() throws Exception {
        start(VENUE, first);
        await(all(Status.PASSING));
        long lists = first.listed();
        Stub.await("it is confirmed", () -> listener.confirmed.get() >= 4);
        assertEquals(lists, first.listed());
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
        assertTrue(first.listed() > lists);
    }

    @Test
    void aDecreasedIndexIsReset() throws Exception {
        for (int i = 0; i < 50; i++) {
            cluster.check("service:v1", i % 2 == 0 ? "critical" : "passing");
        }
        start(VENUE, first);
        await(all(Status.PASSING));
        Stub.await("it waits", () -> first.blocked() == 1);
        cluster.restore(2);
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
        cluster.check("service:v0", "passing");
        await(all(Status.PASSING));
    }

    @Test
    void theListOfALaggingAgentIsDiscarded() throws Exception {
        start(VENUE, first, second);
        await(all(Status.PASSING));
        second.fault(ConsulAgent.Fault.LAGS_UNAWARE);
        cluster.check("service:v0", "critical");
        await(all(Status.CRITICAL));
        first.fault(ConsulAgent.Fault.HANG);
        Stub.await("the other is asked", () -> second.asked() > 0);
        first.fault(ConsulAgent.Fault.NONE);
        cluster.check("service:v1", "warning");
        Stub.await("the news", () -> listener.last().get("v1") == Status.WARNING);
        for (List<Instance> list : listener.lists.subList(1, listener.lists.size())) {
            assertEquals(Status.CRITICAL, list.get(0).status(), "the lagging list was not reported: " + listener.lists);
        }
    }

    @Test
    void aRejectedTokenIsReadAgain() throws Exception {
        Path file = folder.resolve("token");
        Files.writeString(file, "old\n");
        cluster.token("old");
        start(VENUE + ", token_file: token", first);
        await(all(Status.PASSING));
        cluster.token("new");
        cluster.check("service:v0", "critical");
        Stub.await("it is refused", () -> listener.errors.stream().anyMatch(t -> t.contains("403")));
        assertEquals(all(Status.PASSING), listener.last());
        Files.writeString(file, "new\n");
        await(all(Status.CRITICAL));
    }

    @Test
    void recalledInstancesAreKeptForServicesNotReadYet() throws Exception {
        Instance away = new Instance("away/n/x", "127.0.0.1:9300", 9, "", "", 1, Status.PASSING);
        Instance old = new Instance("venue/n/old", "127.0.0.1:9301", 7, "", "", 1, Status.PASSING);
        start(", services: [{name: venue}, {name: away}]", List.of(away, old), first);
        Stub.await("both were read", () -> listener.last().equals(all(Status.PASSING)));
        assertTrue(listener.lists.size() <= 2);
        // After the first service was read, the other one still had its recalled instance.
        assertTrue(listener.lists.get(0).contains(away) != listener.lists.get(0).contains(old), listener.lists.toString());
    }

    @Test
    void theSenderIsRegisteredRenewedAndDeregistered() throws Exception {
        start(VENUE + ", register: {name: slipfield, tags: [sender], ttl: 600ms}", first, second);
        directory.register(new InetSocketAddress("127.0.0.1", 7070));
        Stub.await("it is there", () -> cluster.status("slipfield").equals("passing"));
        // The agent loses the registration: the sender registers again.
        cluster.deregister("slipfield-127.0.0.1-7070");
        Stub.await("it is there again", () -> cluster.status("slipfield").equals("passing"));
        long asked = first.asked();
        Stub.await("it is kept passing", () -> first.asked() > asked + 6);
        assertEquals("passing", cluster.status("slipfield"));
        directory.deregister(5000);
        assertEquals("", cluster.status("slipfield"));
    }

    @Test
    void invalidSettingsAreRejectedWithTheirPosition() {
        assertWrong("{}", ":1:1: agents names none");
        assertWrong("agents: ['consul:8500']\ntag: t", ":1:10: agents: not an address");
        assertWrong("agents: [127.0.0.1:1]", "say which services");
        assertWrong("agents: [127.0.0.1:1]\ntag: t\nmode: fast", ":3:7: mode is none of its values");
        assertWrong("agents: [127.0.0.1:1]\ntag: t\nwait_ms: 5", ":3:1: the file knows no field 'wait_ms'; did you mean 'wait'?");
        assertWrong("agents: [127.0.0.1:1]\ntag: t\nwait: 5", ":3:7: wait is a time with its unit, not '5'");
        assertWrong("agents: [127.0.0.1:1]\nservices: [{destination: 1}]", ":2:12: services.name is missing");
        assertWrong("agents: [127.0.0.1:1]\ntag: t\ntls: {authority: a, key: k}", "go together");
    }

    private void assertWrong(String text, String named) {
        String message = assertThrows(BadInput.class, () -> ConsulSettings.read(yaml(text))).getMessage();
        assertTrue(message.contains(named), message);
    }
}
