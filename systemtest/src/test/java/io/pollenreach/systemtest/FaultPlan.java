package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Draws series of faults that overlap.
 *
 * <p>The same seed gives the same faults. Used by one thread.
 */
final class FaultPlan {
    static final String STORE = "store";

    private static final int MIN_SERIES = 3;
    private static final int MAX_SERIES = 6;
    private static final int MAX_PAUSE_MS = 1_200;
    private static final int MAX_REPEATS = 4;
    private static final int MAX_STAGGER_MS = 900;
    private static final int ACCOMPANIED_IN = 3;
    private static final List<FaultKind> COMPANIONS = Arrays.stream(FaultKind.values())
            .filter(k -> k.scope() == FaultKind.Scope.AGENT)
            .toList();

    /**
     * A fault of a plan.
     *
     * <p>Immutable.
     *
     * @param kind its kind
     * @param target the process, or the store
     * @param strength from 1 to {@link FaultKind#MAX_STRENGTH}
     * @param fromMs when it begins, from the start of the plan, in milliseconds
     * @param toMs when it ends
     */
    record Fault(FaultKind kind, String target, int strength, long fromMs, long toMs) {}

    private final Random random;
    private final long lengthMs;
    private final List<String> processes = new ArrayList<>();
    private final List<String> agents;
    private final List<Fault> faults = new ArrayList<>();

    private FaultPlan(long seed, long lengthMs, List<String> entries, List<String> agents) {
        random = new Random(seed);
        this.lengthMs = lengthMs;
        this.agents = agents;
        processes.addAll(entries);
        processes.addAll(agents);
    }

    /** Draws the faults of a seed, by their begin; all have ended after {@code lengthMs}. */
    static List<Fault> draw(long seed, long lengthMs, List<String> entries, List<String> agents) {
        FaultPlan plan = new FaultPlan(seed, lengthMs, entries, agents);
        int series = MIN_SERIES + plan.random.nextInt(MAX_SERIES - MIN_SERIES + 1);
        for (int i = 0; i < series; i++) {
            long atMs = plan.random.nextInt(MAX_PAUSE_MS);
            while (atMs < lengthMs) {
                atMs = plan.addSeries(atMs) + plan.random.nextInt(MAX_PAUSE_MS);
            }
        }
        plan.faults.sort(Comparator.comparingLong(Fault::fromMs));
        return plan.faults;
    }

    /** Adds faults of one kind, one after the other or several at once; returns when the next may begin. */
    private long addSeries(long fromMs) {
        FaultKind kind = any(List.of(FaultKind.values()));
        List<String> targets = targets(kind);
        String target = any(targets);
        int repeats = 1 + random.nextInt(MAX_REPEATS);
        long atMs = fromMs;
        for (int r = 0; r < repeats && atMs < lengthMs; r++) {
            long toMs = Math.min(lengthMs, atMs + between(random, kind.minMs(), kind.maxMs()));
            faults.add(new Fault(kind, target, 1 + random.nextInt(FaultKind.MAX_STRENGTH), atMs, toMs));
            // What strikes an agent often strikes its worker or the list of machines too.
            if (agents.contains(target) && random.nextInt(ACCOMPANIED_IN) == 0) {
                faults.add(new Fault(any(COMPANIONS), target, FaultKind.MAX_STRENGTH, atMs, toMs));
            }
            if (random.nextBoolean()) {
                target = any(targets);
                atMs += random.nextInt(MAX_STAGGER_MS);
            } else {
                atMs = toMs + random.nextInt(MAX_STAGGER_MS);
            }
        }
        return atMs;
    }

    private List<String> targets(FaultKind kind) {
        switch (kind.scope()) {
            case PROCESS:
                return processes;
            case AGENT:
                return agents;
            default:
                return List.of(STORE);
        }
    }

    private <T> T any(List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private static long between(Random random, int min, int max) {
        return min + random.nextInt(max - min + 1);
    }
}
