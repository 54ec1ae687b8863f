package slipfield.group.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import slipfield.SimulatedTime;
import slipfield.group.GossipCodec;
import slipfield.rig.plan.Conditions;
import slipfield.rig.plan.Wire;

/** A group on one clock, with a wire for each ordered pair; members die, stop, go on and come back in a new life. */
final class SwimSimulation extends SimulatedTime {
    final int size;
    final List<SwimMember> members = new ArrayList<>();
    final boolean[] gone;
    final boolean[] stopped;
    long notes;
    long bytes;
    int longest;
    private final Wire[][] wires;
    private final SplittableRandom random;
    private final List<List<Runnable>> whileStopped = new ArrayList<>();

    SwimSimulation(long seed, int size) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        this.gone = new boolean[size];
        this.stopped = new boolean[size];
        this.wires = new Wire[size][size];
        for (int i = 0; i < size; i++) {
            whileStopped.add(new ArrayList<>());
            for (int j = 0; j < size; j++) {
                wires[i][j] = new Wire(random.split());
            }
        }
        all((from, to) -> new Conditions(3, 25, 0, 0, 0, false));
        for (int i = 0; i < size; i++) {
            members.add(null);
            begin(i, 1);
        }
    }

    interface Link {
        Conditions between(int from, int to);
    }

    void all(Link link) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < size; j++) {
                wires[i][j].conditions(link.between(i, j));
            }
        }
    }

    /** A life of this member. */
    void begin(int number, long incarnation) {
        gone[number] = false;
        SwimMember group = new SwimMember(now, number, size, incarnation, SwimSettings.DEFAULT, random.split(), new SwimMember.Actions() {
            @Override
            public void send(int to, GossipMessage note) {
                put(number, to, GossipCodec.write(note));
            }

            @Override
            public void changed(int member, MemberState state) {
                // The view is asked.
            }
        });
        members.set(number, group);
        wake(number, group);
    }

    private void wake(int number, SwimMember group) {
        at(Math.max(now, group.dueAt()), () -> {
            if (members.get(number) == group && !gone[number]) {
                run(number, () -> {
                    group.tick(now);
                    wake(number, group);
                });
            }
        });
    }

    /** Later, where it is stopped: all at once when it goes on. */
    private void run(int number, Runnable step) {
        if (stopped[number]) {
            whileStopped.get(number).add(step);
        } else {
            step.run();
        }
    }

    private void put(int from, int to, byte[] note) {
        notes++;
        bytes += note.length;
        longest = Math.max(longest, note.length);
        for (double out : wires[from][to].datagram(now)) {
            at(out, () -> {
                if (!gone[to]) {
                    SwimMember group = members.get(to);
                    run(to, () -> GossipCodec.read(note, size).ifPresent(n -> group.received(now, from, n)));
                }
            });
        }
    }

    void goOn(int number) {
        stopped[number] = false;
        List<Runnable> late = List.copyOf(whileStopped.get(number));
        whileStopped.get(number).clear();
        late.forEach(Runnable::run);
    }

    SwimSimulation until(double end) {
        pass(end);
        return this;
    }

    /** How many of those that live hold this member for that. */
    long held(int member, MemberState state) {
        long held = 0;
        for (int i = 0; i < size; i++) {
            held += i != member && !gone[i] && !stopped[i] && members.get(i).state(member) == state ? 1 : 0;
        }
        return held;
    }

    long living() {
        long living = 0;
        for (int i = 0; i < size; i++) {
            living += gone[i] || stopped[i] ? 0 : 1;
        }
        return living;
    }

    /** Words that one that lives holds another that lives for dead. */
    long falseDeaths() {
        long wrong = 0;
        for (int i = 0; i < size; i++) {
            wrong += gone[i] || stopped[i] ? 0 : held(i, MemberState.DEAD);
        }
        return wrong;
    }
}
