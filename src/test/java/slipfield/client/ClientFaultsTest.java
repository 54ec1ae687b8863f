package slipfield.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import slipfield.client.decide.ClassRule;
import slipfield.client.decide.End;
import slipfield.client.decide.Rules;
import slipfield.standin.Stub;

/** Tests a client against scripted senders that misbehave. */
class ClientFaultsTest {
    private static final long WINDOW_MS = 1500;
    private static final long TIMEOUT_MS = 30_000;
    private static final Map<String, ClassRule> CLASSES = Map.of("keyed", ClassRule.keyed(WINDOW_MS), "once",
            ClassRule.unsafe(), "safe", ClassRule.safe());
    /** Rules with short times: answers within 60 ms, and a margin of 100 ms. */
    private static final Rules RULES = new Rules(60, 100, 0.001, 20, 10, 100, 1, 1000, 4, 64, 8, 1000, 20, 100, 0, 1000, 10, 100,
            0, 100, false, 500);

    private final List<Stub.Message> submissions = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
    }

    /** How a sender handles a submission. */
    private interface Behaviour {
        void handle(Stub.Message submission, Socket socket) throws Exception;
    }

    private Stub sender(Behaviour behaviour) throws Exception {
        Stub stub = new Stub((request, socket) -> {
            if (request.line().startsWith("GET /healthz")) {
                Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            submissions.add(request);
            behaviour.handle(request, socket);
        });
        open.add(stub);
        return stub;
    }

    private Client client(Rules rules, Stub... senders) {
        List<InetSocketAddress> at = new ArrayList<>();
        for (Stub s : senders) {
            String[] hostPort = s.hostPort().split(":");
            at.add(new InetSocketAddress(hostPort[0], Integer.parseInt(hostPort[1])));
        }
        Client client = new Client(new ClientSettings("desk", Senders.of(at), CLASSES, rules, 1000, 2000, 7));
        open.add(0, client);
        return client;
    }

    private static Order order(String messageClass, long withinMs) {
        return new Order(messageClass, "acme", 7, new byte[] {1}, Duration.ofMillis(withinMs));
    }

    private static End end(Submission submission) throws Exception {
        return submission.await(TIMEOUT_MS);
    }

    private static Behaviour answering(String head) {
        return (submission, socket) -> Stub.write(socket, "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void endsAnOrderAtAcceptanceWithoutFollowing() throws Exception {
        Client client = client(RULES, sender(answering("202 Accepted")));
        assertInstanceOf(End.Taken.class, end(client.submit(order("keyed", 900))));
        Stub.Message submission = submissions.get(0);
        assertEquals("POST /keyed HTTP/1.1", submission.line());
        assertEquals("dest=7", submission.header("X-Envelope"));
        assertEquals("acme", submission.header("X-Caller"));
        long budget = Long.parseLong(submission.header("X-Budget-Ms"));
        assertTrue(budget > 0 && budget <= 900, "the time limit less the time that has passed: " + budget);
    }

    @Test
    void refusesAtOnceIfTheRequestedDelayExceedsTheTimeLeft() throws Exception {
        Client client = client(RULES, sender(answering("503 x\r\nRetry-After: 1e9\r\nX-Wait-Scope: destination")));
        End.Refused first = assertInstanceOf(End.Refused.class, end(client.submit(order("once", 20_000))));
        assertEquals(1_000_000_000_000L, first.comeBackMs());
        for (int i = 0; i < 20; i++) {
            assertInstanceOf(End.Refused.class, end(client.submit(order("safe", 20_000))));
        }
        assertEquals(1, submissions.size(), "nothing is sent during the requested delay");
    }

    @Test
    void submitsToAnotherSenderDuringARequestedDelay() throws Exception {
        Stub full = sender(answering("503 x\r\nRetry-After: 600\r\nX-Wait-Scope: sender"));
        Stub good = sender(answering("202 Accepted"));
        Client client = client(RULES, full, good);
        for (int i = 0; i < 20; i++) {
            assertInstanceOf(End.Taken.class, end(client.submit(order("once", 20_000))));
        }
        assertTrue(submissions.size() <= 21, "the full sender gets one submission: " + submissions.size());
        assertTrue(submissions.stream().anyMatch(h -> "1".equals(h.header("X-Again"))) == submissions.size() > 20);
    }

    @Test
    void refusesAtOnceIfEverySenderRequestedALongDelay() throws Exception {
        Client client = client(RULES, sender(answering("503 x\r\nRetry-After: 600")),
                sender(answering("503 x\r\nRetry-After: 600")));
        for (int i = 0; i < 10; i++) {
            assertInstanceOf(End.Refused.class, end(client.submit(order("once", 20_000))));
        }
        assertTrue(submissions.size() <= 2, "each sender gets at most one submission: " + submissions.size());
    }

    /** Ways in which a sender that may have accepted an order fails to answer. */
    private enum NoAnswer implements Behaviour {
        NOTHING {
            @Override
            public void handle(Stub.Message submission, Socket socket) {
            }
        },
        HALF_A_HEAD {
            @Override
            public void handle(Stub.Message submission, Socket socket) throws Exception {
                Stub.write(socket, "HTTP/1.1 202 Acc");
            }
        },
        LATE {
            @Override
            public void handle(Stub.Message submission, Socket socket) throws Exception {
                TimeUnit.MILLISECONDS.sleep(150);
                Stub.write(socket, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            }
        },
        DIES {
            @Override
            public void handle(Stub.Message submission, Socket socket) throws Exception {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        NOISE {
            @Override
            public void handle(Stub.Message submission, Socket socket) throws Exception {
                Stub.write(socket, "%&$ no such protocol\r\n\r\n");
            }
        },
        ERROR {
            @Override
            public void handle(Stub.Message submission, Socket socket) throws Exception {
                Stub.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    @ParameterizedTest
    @EnumSource(NoAnswer.class)
    void repeatsAnUnansweredKeyedOrderOnlyWithinItsWindow(NoAnswer behaviour) throws Exception {
        Client client = client(RULES, sender(behaviour));
        Submission keyed = client.submit(order("keyed", 20_000));
        assertInstanceOf(End.Unknown.class, end(keyed));
        List<Stub.Message> all = List.copyOf(submissions);
        assertTrue(all.size() > 1, "it is submitted again");
        long first = all.get(0).atNanos();
        for (Stub.Message again : all) {
            long lastMs = TimeUnit.NANOSECONDS.toMillis(again.atNanos() - first)
                    + Long.parseLong(again.header("X-Budget-Ms"));
            assertTrue(lastMs <= WINDOW_MS, "may run " + lastMs + " ms after the first submission");
            assertEquals(keyed.order().key(), again.header("Idempotency-Key"));
            assertEquals(again == all.get(0) ? null : "again", again.header("X-Again"));
        }
        assertEquals(all.size(), all.stream().map(h -> h.header("X-Call-Id")).distinct().count(), "a new id each time");
        // After its final answer the order is not submitted again, while a later order is.
        submissions.clear();
        assertInstanceOf(End.Unknown.class, end(client.submit(order("once", 20_000))));
        assertTrue(submissions.stream().noneMatch(h -> keyed.order().key().equals(h.header("Idempotency-Key"))));
    }

    @ParameterizedTest
    @EnumSource(NoAnswer.class)
    void neverRepeatsAnUnansweredUnsafeOrder(NoAnswer behaviour) throws Exception {
        Client client = client(RULES, sender(behaviour));
        End.Unknown end = assertInstanceOf(End.Unknown.class, end(client.submit(order("once", 20_000))));
        assertFalse(end.taken());
        assertEquals(1, submissions.size());
    }

    @Test
    void treatsTheSameOrderOfSeveralThreadsAsOne() throws Exception {
        CountDownLatch both = new CountDownLatch(1);
        Client client = client(new Rules(5000, 100, 0.001, 20, 10, 100, 1, 1000, 4, 64, 8, 1000, 20, 100, 0, 1000, 10, 100, 0,
                100, false, 500), sender((submission, socket) -> {
                    both.await();
                    Stub.write(socket, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                }));
        Order order = order("once", 20_000);
        List<Submission> submitted = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Thread thread = new Thread(() -> submitted.add(client.submit(order)));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        both.countDown();
        submitted.forEach(s -> assertSame(submitted.get(0), s));
        assertInstanceOf(End.Taken.class, end(submitted.get(0)));
        assertEquals(1, submissions.size());
    }

    @Test
    void failsAsNeverRunIfTimeRunsOutBeforeSubmission() throws Exception {
        // The first sender is closed; the second accepts connections and never answers the readiness check.
        Stub gone = sender(answering("202 Accepted"));
        gone.close();
        Stub mute = new Stub((request, socket) -> { });
        open.add(mute);
        for (Stub out : List.of(gone, mute)) {
            End.Failed end = assertInstanceOf(End.Failed.class, end(client(RULES, out).submit(order("once", 150))));
            assertFalse(end.mayHaveRun());
        }
    }

    /** Guards against an order that is reported as possibly run although each of its submissions was refused. */
    @Test
    void refusesIfTimeRunsOutDuringARequestedDelay() throws Exception {
        AtomicLong nowMs = new AtomicLong();
        Stub stub = sender((submission, socket) -> Stub.write(socket, submission.header("X-Call-Class").equals("safe")
                ? "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 503 x\r\nRetry-After: 0.1\r\nX-Wait-Scope: tenant\r\nContent-Length: 0\r\n\r\n"));
        Client client = new Client(new ClientSettings("desk", Senders.of(List.of(stub.address())), CLASSES, RULES.atMost(1, 1),
                1000, 2000, 7), () -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()));
        open.add(0, client);
        Submission waits = client.submit(order("once", 150));
        // Submissions go one at a time: when the next one has its answer, the refusal of the first has been processed.
        Submission other = client.submit(new Order("safe", "other", 7, new byte[] {1}, Duration.ofMillis(20_000)));
        assertInstanceOf(End.Taken.class, end(other));
        assertEquals(2, submissions.size());
        nowMs.set(100);
        assertInstanceOf(End.Refused.class, end(waits));
        assertEquals(3, submissions.size(), "it is submitted again after the requested delay");
    }

    @Test
    void failsARejectedOrderAsNeverRun() throws Exception {
        Client client = client(RULES, sender(answering("400 x")));
        End.Failed end = assertInstanceOf(End.Failed.class, end(client.submit(order("keyed", 20_000))));
        assertFalse(end.mayHaveRun());
        assertEquals(1, submissions.size());
    }

    @Test
    void closeEndsAllOrders() throws Exception {
        CountDownLatch out = new CountDownLatch(1);
        Client client = client(new Rules(5000, 100, 0.001, 20, 10, 100, 1, 1000, 1, 1, 1, 1000, 20, 100, 0, 1000, 10, 100, 0, 100,
                false, 500), sender((submission, socket) -> out.countDown()));
        Submission first = client.submit(order("once", 20_000));
        Submission queued = client.submit(order("once", 20_000));
        assertTrue(out.await(30, TimeUnit.SECONDS));
        client.close();
        assertInstanceOf(End.Unknown.class, end(first));
        assertFalse(assertInstanceOf(End.Failed.class, end(queued)).mayHaveRun());
        assertFalse(assertInstanceOf(End.Failed.class, end(client.submit(order("once", 20_000)))).mayHaveRun());
    }

    @Test
    void cancelsAnOrderUntilItIsAccepted() throws Exception {
        Client away = client(RULES);
        Submission queued = away.submit(order("once", 20_000));
        assertTrue(queued.cancel().get(30, TimeUnit.SECONDS));
        assertFalse(assertInstanceOf(End.Failed.class, end(queued)).mayHaveRun());
        Client client = client(RULES, sender(answering("202 Accepted")));
        Submission taken = client.submit(order("once", 20_000));
        end(taken);
        assertFalse(taken.cancel().get(30, TimeUnit.SECONDS));
    }

    @Test
    void prefersOtherSendersToOneThatAnnouncedItsClose() throws Exception {
        AtomicInteger left = new AtomicInteger();
        Stub leaving = sender((submission, socket) -> {
            left.incrementAndGet();
            Stub.write(socket, "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            socket.close();
        });
        Stub staying = sender(answering("202 Accepted"));
        Rules drains = new Rules(1000, 100, 0.001, 20, 10, 100, 1, 1000, 4, 64, 1, 1000, 20, 100, 0, 1000, 10, 100, 0, 600_000,
                false, 500);
        Client client = client(drains, leaving, staying);
        // On a busy machine its connection may open only after many orders have gone to the other sender.
        int before = 0;
        while (left.get() == 0) {
            assertInstanceOf(End.Taken.class, end(client.submit(order("once", 20_000))));
            assertTrue(++before < 20_000, "the draining sender never gets an order");
        }
        for (int i = 0; i < 30; i++) {
            assertInstanceOf(End.Taken.class, end(client.submit(order("once", 20_000))));
        }
        assertEquals(before + 30, submissions.size());
        assertEquals(1, left.get(), "it gets one order and no other");
    }

    /** The connection is closed after each byte of the poll response: no final answer is lost or reported twice. */
    @Test
    void resumesPollsClosedAfterAnyByte() throws Exception {
        List<String> calls = new CopyOnWriteArrayList<>();
        AtomicInteger cutAt = new AtomicInteger();
        Stub stub = new Stub((request, socket) -> {
            if (request.line().startsWith("GET /ends")) {
                String after = request.line().replaceAll(".*after=([^& ]*).*", "$1");
                int acknowledged = after.isEmpty() ? 0 : Integer.parseInt(after);
                Stub.await("an order was accepted, or the poll was closed",
                        () -> calls.size() > acknowledged || socket.isClosed());
                StringBuilder lines = new StringBuilder();
                for (int i = acknowledged; i < calls.size(); i++) {
                    lines.append("{\"cursor\":\"").append(i + 1).append("\",\"ref\":\"").append(calls.get(i))
                            .append("\",\"end\":\"delivered\"}\n");
                }
                String whole = "HTTP/1.1 200 OK\r\nContent-Length: " + lines.length() + "\r\n\r\n" + lines;
                int cut = cutAt.getAndIncrement();
                Stub.write(socket, whole.substring(0, Math.min(cut, whole.length())));
                if (cut < whole.length()) {
                    socket.close();
                }
            } else if (request.line().startsWith("GET")) {
                Stub.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            } else {
                calls.add(request.header("X-Call-Id"));
                Stub.write(socket, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            }
        });
        open.add(stub);
        Client client = client(RULES.following(true), stub);
        for (int i = 0; i < 3; i++) {
            cutAt.set(0);
            assertInstanceOf(End.Delivered.class, client.submit(order("once", 60_000)).await(60_000));
            assertTrue(cutAt.get() > 90, "cut " + cutAt.get() + " times");
        }
    }

    @Test
    void reusesOneConnectionForManyOrders() throws Exception {
        Client client = client(RULES.atMost(1, 1), sender(answering("202 Accepted")));
        List<Submission> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            all.add(client.submit(order("once", 20_000)));
        }
        for (Submission s : all) {
            assertInstanceOf(End.Taken.class, end(s));
        }
        assertEquals(1, submissions.stream().map(Stub.Message::connection).distinct().count());
    }

    @Test
    void keepsTheLastSendersWhenTheListBecomesEmpty() throws Exception {
        Stub stub = sender(answering("202 Accepted"));
        String[] at = stub.hostPort().split(":");
        Senders emptied = listener -> {
            listener.accept(List.of(new InetSocketAddress(at[0], Integer.parseInt(at[1]))));
            listener.accept(List.of());
        };
        Client client = new Client(new ClientSettings("desk", emptied, CLASSES, RULES, 1000, 2000, 7));
        open.add(0, client);
        assertInstanceOf(End.Taken.class, end(client.submit(order("once", 20_000))));
    }
}
