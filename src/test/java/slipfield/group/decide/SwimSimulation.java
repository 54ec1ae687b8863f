package slipfield.group.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slipfield.SimulatedTime;
import slipfield.group.GossipCodec;
import slipfield.rig.plan.Conditions;
import slipfield.rig.plan.Wire;

/**
 * A simulated group on one clock, with a network link for each ordered pair of members. Members can be killed, stopped, resumed
 * and restarted.
 */
final class SwimSimulation extends SimulatedTime {
    final int size;
    final List<SwimMember> members = new ArrayList<>();
    final boolean[] killed;
    final boolean[] stopped;
    long messages;
    long bytes;
    int longest;
    private final Wire[][] links;
    private final SplittableRandom random;
    private final List<List<Runnable>> deferred = new ArrayList<>();

    SwimSimulation(long seed, int size) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        this.killed = new boolean[size];
        this.stopped = new boolean[size];
        this.links = new Wire[size][size];
        for (int i = 0; i < size; i++) {
            deferred.add(new ArrayList<>());
            for (int j = 0; j < size; j++) {
                links[i][j] = new Wire(random.split());
            }
        }
        setLinks((from, to) -> new Conditions(3, 25, 0, 0, 0, false));
        for (int i = 0; i < size; i++) {
            members.add(null);
            start(i, 1);
        }
    }

    interface LinkConditions {
        Conditions between(int from, int to);
    }

    void setLinks(LinkConditions conditions) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                links[i][j].conditions(conditions.between(i, j));
            }
        }
    }

    /** Starts a new process of this member. */
    void start(int number, long incarnation) {
        killed[number] = false;
        SwimMember instance = new SwimMember(now, number, size, incarnation, SwimSettings.DEFAULT, random.split(),
                new SwimMember.Actions() {
            @Override
            public void send(int to, GossipMessage message) {
                transmit(number, to, GossipCodec.write(message));
            }

            @Override
            public void changed(int member, MemberState state) {
                // The tests read the view instead.
            }
        });
        members.set(number, instance);
        wake(number, instance);
    }

    private void wake(int number, SwimMember instance) {
        at(Math.max(now, instance.dueAt()), () -> {
            if (members.get(number) == instance && !killed[number]) {
                run(number, () -> {
                    instance.tick(now);
                    wake(number, instance);
                });
            }
        });
    }

    /** Runs a step of a member; while the member is stopped, the step waits until it resumes. */
    private void run(int number, Runnable step) {
        if (stopped[number]) {
            deferred.get(number).add(step);
        } else {
            step.run();
        }
    }

    private void transmit(int from, int to, byte[] message) {
        messages++;
        bytes += message.length;
        longest = Math.max(longest, message.length);
        for (double out : links[from][to].datagram(now)) {
            at(out, () -> {
                if (!killed[to]) {
                    SwimMember instance = members.get(to);
                    run(to, () -> GossipCodec.read(message, size).ifPresent(n -> instance.received(now, from, n)));
                }
            });
        }
    }

    void resume(int number) {
        stopped[number] = false;
        List<Runnable> steps = List.copyOf(deferred.get(number));
        deferred.get(number).clear();
        steps.forEach(Runnable::run);
    }

    SwimSimulation until(double end) {
        pass(end);
        return this;
    }

    /** Returns how many running members have this member in that state. */
    long countState(int member, MemberState state) {
        long count = 0;
        for (int i = 0; i < size; i++) {
            count += i != member && !killed[i] && !stopped[i] && members.get(i).state(member) == state ? 1 : 0;
        }
        return count;
    }

    long countRunning() {
        long running = 0;
        for (int i = 0; i < size; i++) {
            running += killed[i] || stopped[i] ? 0 : 1;
        }
        return running;
    }

    /** Returns in how many cases a running member assumes that another running member is dead. */
    long falseDeaths() {
        long wrong = 0;
        for (int i = 0; i < size; i++) {
            wrong += killed[i] || stopped[i] ? 0 : countState(i, MemberState.DEAD);
        }
        return wrong;
    }
}
