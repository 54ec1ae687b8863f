package slipfield.cli;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The steps of all senders of a fleet, summed by destination and span of time. A step is a line {@code flow TIME STEP ...}
 * as {@code slipfield.trace.Flow} writes it, whatever stands before it on the line; others are passed over. Lines of one
 * sender come in order; senders may be added one after the other.
 */
final class FlowCount {
    /** What is counted of a destination. */
    enum Count {
        /** Messages that clients handed in. */
        ASKED,
        /** Of these, refused by the sender before it took them on. */
        TURNED_AWAY,
        /** Attempts begun. */
        SENT,
        /** Of these, messages that had been sent before. */
        AGAIN,
        DELIVERED,
        FULL,
        UNREACHABLE,
        /** Attempts that ended in any other way. */
        OTHER,
        /** Messages ended without a delivery. */
        GIVEN_UP
    }

    /** One destination in one span. */
    static final class Cell {
        private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
        private final List<Double> waits = new ArrayList<>();
        private double rateSum;
        private double leftSum;
        private int told;
        private int held;

        int get(Count count) {
            return counts.getOrDefault(count, 0);
        }

        private void add(Count count) {
            counts.merge(count, 1, Integer::sum);
        }

        /** Messages taken on and not over, at the end of the span, in change since its begin. */
        int held() {
            return held;
        }

        /** Mean of the limits told, in calls a second; 0 if none was. */
        double rate() {
            return told == 0 ? 0 : rateSum / told;
        }

        /** Mean of the shares told to be left; not a number if none was. */
        double left() {
            return told == 0 ? Double.NaN : leftSum / told;
        }

        /** From taking on to the first attempt, in ms: so long or less for nine in ten of those sent first in the span. */
        double wait90() {
            if (waits.isEmpty()) {
                return Double.NaN;
            }
            Collections.sort(waits);
            return waits.get((int) (0.9 * (waits.size() - 1)));
        }
    }

    private final long spanMs;
    private final Map<String, TreeMap<Long, Cell>> cells = new HashMap<>();
    private final TreeMap<Long, int[]> lists = new TreeMap<>();
    private final Set<String> senders = new HashSet<>();
    private long first = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;

    /** Counts by spans of so many milliseconds. */
    FlowCount(long spanMs) {
        this.spanMs = spanMs;
    }

    /** One sender's lines; returns how many were steps. */
    int add(String sender, Iterable<String> lines) {
        Map<String, Long> takenAt = new HashMap<>();
        int steps = 0;
        for (String line : lines) {
            int at = line.indexOf("flow ");
            String[] p = at < 0 ? new String[0] : line.substring(at).split(" ");
            if (p.length < 3) {
                continue;
            }
            try {
                step(Long.parseLong(p[1]), p, takenAt);
                steps++;
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException cut) {
                // A line may be cut where its sender was killed.
                continue;
            }
        }
        if (steps > 0) {
            senders.add(sender);
        }
        return steps;
    }

    private void step(long time, String[] p, Map<String, Long> takenAt) {
        switch (p[2]) {
            case "asked" -> {
                boolean taken = Boolean.parseBoolean(p[5]);
                Cell cell = cell(p[4], time);
                cell.add(Count.ASKED);
                if (taken) {
                    takenAt.put(p[3], time);
                    cell.held++;
                } else {
                    cell.add(Count.TURNED_AWAY);
                }
            }
            case "out" -> {
                Cell cell = cell(p[5], time);
                cell.add(Count.SENT);
                Long taken = takenAt.get(p[3]);
                if (!p[4].equals("0")) {
                    cell.add(Count.AGAIN);
                } else if (taken != null) {
                    cell.waits.add((double) (time - taken));
                }
            }
            case "end" -> ended(cell(p[5], time), p);
            case "over" -> {
                Cell cell = cell(p[5], time);
                cell.held--;
                if (!Boolean.parseBoolean(p[4])) {
                    cell.add(Count.GIVEN_UP);
                }
            }
            case "list_asked" -> lists.computeIfAbsent(time / spanMs, s -> new int[2])[0]++;
            case "list_answered" -> lists.computeIfAbsent(time / spanMs, s -> new int[2])[1] += p[3].equals("200") ? 0 : 1;
            default -> {
                // Steps that are not counted, such as what a list names.
            }
        }
    }

    private static void ended(Cell cell, String[] p) {
        switch (p[7]) {
            case "DELIVERED" -> cell.add(Count.DELIVERED);
            case "FULL" -> cell.add(Count.FULL);
            case "UNREACHABLE" -> cell.add(Count.UNREACHABLE);
            default -> cell.add(Count.OTHER);
        }
        double rate = Double.parseDouble(p[9]);
        double left = Double.parseDouble(p[10]);
        if (rate > 0 && left >= 0) {
            cell.told++;
            cell.rateSum += rate;
            cell.leftSum += left;
        }
    }

    private Cell cell(String destination, long time) {
        first = Math.min(first, time);
        last = Math.max(last, time);
        return cells.computeIfAbsent(destination, d -> new TreeMap<>()).computeIfAbsent(time / spanMs, s -> new Cell());
    }

    int senders() {
        return senders.size();
    }

    /** Spans from the first step to the last. */
    int spans() {
        return cells.isEmpty() ? 0 : (int) (last / spanMs - first / spanMs + 1);
    }

    /** Destinations, those asked for most first. */
    List<String> destinations() {
        List<String> all = new ArrayList<>(cells.keySet());
        all.sort((a, b) -> Integer.compare(total(b, Count.ASKED), total(a, Count.ASKED)));
        return all;
    }

    int total(String destination, Count count) {
        return cells.get(destination).values().stream().mapToInt(c -> c.get(count)).sum();
    }

    /** A destination in the span of this number, from 0; an empty one where nothing happened. */
    Cell cell(String destination, int span) {
        return cells.get(destination).getOrDefault(first / spanMs + span, new Cell());
    }

    /** Calls for the list in a span, and of those answered in it how many brought none. */
    int[] lists(int span) {
        return lists.getOrDefault(first / spanMs + span, new int[2]);
    }
}
