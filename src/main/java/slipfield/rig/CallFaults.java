package slipfield.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import slipfield.rig.plan.Fault;
import slipfield.rig.plan.Schedule;
import slipfield.standin.TrialWorld;

/** Faults that strike what senders ask of their system: calls that fail or do a part, and wall clocks that are set. */
final class CallFaults {
    /** What steers each sender's system calls; none where the schedule strikes none. */
    private final List<FailingCalls> calls = new ArrayList<>();

    /** Builds the library in this folder if the schedule needs it. */
    CallFaults(Schedule schedule, TrialWorld world, Path folder) throws IOException, InterruptedException {
        if (schedule.faults().stream().noneMatch(f -> f.kind().ofCalls())) {
            return;
        }
        Path library = FailingCalls.compile(folder);
        for (int i = 0; i < schedule.senders(); i++) {
            calls.add(new FailingCalls(library, folder.resolve("calls-" + i), world.folder(i).resolve("state")));
        }
    }

    /** What a sender is run by. */
    List<String> wrapper(int sender) {
        return calls.isEmpty() ? List.of() : calls.get(sender).wrapper();
    }

    /** These faults hold from now on, and no others; a clock that was set stays so only while its fault holds. */
    void set(Set<Fault> now) {
        for (int i = 0; i < calls.size(); i++) {
            FailingCalls of = calls.get(i);
            of.heal();
            of.stepWallClock(0);
            for (Fault fault : now) {
                if (fault.kind().ofCalls() && fault.strikes(i)) {
                    strike(of, fault);
                }
            }
        }
    }

    private static void strike(FailingCalls calls, Fault f) {
        switch (f.kind()) {
            case SOCKETS_FAIL -> {
                calls.fail(FailingCalls.Call.SOCKET, FailingCalls.Errno.ENFILE, f.size());
                calls.fail(FailingCalls.Call.CONNECT, FailingCalls.Errno.ENETUNREACH, f.size());
                calls.fail(FailingCalls.Call.ACCEPT, FailingCalls.Errno.ENOBUFS, f.size());
            }
            case READS_INTERRUPTED -> {
                calls.fail(FailingCalls.Call.SOCKET_READ, FailingCalls.Errno.EINTR, f.size() / 2);
                calls.fail(FailingCalls.Call.SOCKET_WRITE, FailingCalls.Errno.EINTR, f.size() / 2);
            }
            case READS_SHORT -> {
                calls.shorten(FailingCalls.Call.SOCKET_READ, f.size());
                calls.shorten(FailingCalls.Call.SOCKET_WRITE, f.size());
                calls.shorten(FailingCalls.Call.FILE_WRITE, f.size());
            }
            case DISK_FAIL -> {
                calls.fail(FailingCalls.Call.FILE_WRITE, FailingCalls.Errno.ENOSPC, f.size());
                calls.fail(FailingCalls.Call.FILE_TRUNCATE, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_RENAME, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_CLOSE, FailingCalls.Errno.EIO, f.size());
                calls.fail(FailingCalls.Call.FILE_SYNC, FailingCalls.Errno.EIO, f.size());
            }
            case CLOCK_AHEAD -> calls.stepWallClock((long) f.size());
            default -> calls.stepWallClock((long) -f.size());
        }
    }
}
