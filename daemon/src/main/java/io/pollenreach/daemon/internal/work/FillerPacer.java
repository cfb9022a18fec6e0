package io.pollenreach.daemon.internal.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.batch.FillerThrottle;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders.OrderedRun;

/**
 * Slows the fillers of one incarnation of a worker while they disturb the tasks that serve beside them.
 *
 * <p>Invariants: a filler whose pace is not known to the worker is told it again with the next poll, and every filler each
 * second; few calls are in flight at a time, whatever the number of fillers. Not safe for use by many threads: the agent's thread owns it.
 */
final class FillerPacer {
    /** What a pacer needs of its agent. */
    interface Host {
        /** Tells the worker the pace of a run; {@code answered} takes whether it did take it, on the agent's thread. */
        void pace(TaskRun run, int percent, Consumer<Boolean> answered);
    }

    /**
     * How long a pace stands before it is told again, in milliseconds: a worker may carry out an order that it left
     * unanswered seconds later, over newer ones, and a target may be missed for four seconds.
     */
    static final long REPEAT_MS = 1_000;

    private static final Events EVENTS = Events.of(FillerPacer.class);

    /** Calls in flight at most; they must leave connections to the orders and the poll. */
    private static final int MAX_IN_FLIGHT = 3;

    private final FillerThrottle pace;
    private final Map<TaskRun, Told> told = new HashMap<>();
    private List<TaskRun> fillers = List.of();
    private int inFlight;

    /** The pace that a run was told last, and when. Immutable. */
    private record Told(int percent, long toldMs) {
        boolean isCurrent(int wanted, long nowMs) {
            return percent == wanted && nowMs - toldMs < REPEAT_MS;
        }
    }

    FillerPacer(long nowMs) {
        pace = new FillerThrottle(nowMs);
    }

    /** Takes what the worker says of the load of its runs, and tells it what follows. */
    void adjust(List<OrderedRun> runs, Map<TaskRun, Integer> loads, long nowMs, Host host) {
        fillers = runs.stream().filter(OrderedRun::filler).map(OrderedRun::run).toList();
        told.keySet().retainAll(Set.copyOf(fillers));
        if (fillers.isEmpty()) {
            return;
        }
        int before = pace.percent();
        double worst = worst(runs, loads);
        pace.update(worst, nowMs);
        if (pace.percent() != before) {
            EVENTS.info(
                    "filler-pace",
                    "percent",
                    pace.percent(),
                    "before",
                    before,
                    "latencyOverTarget",
                    worst,
                    "fillers",
                    fillers.size());
        }
        tell(nowMs, host);
    }

    /** Tells fillers their pace that were not told it lately, and goes on with others as the worker answers. */
    private void tell(long nowMs, Host host) {
        for (TaskRun run : fillers) {
            if (inFlight == MAX_IN_FLIGHT) {
                return;
            }
            Told known = told.get(run);
            if (known == null || !known.isCurrent(pace.percent(), nowMs)) {
                told.put(run, new Told(pace.percent(), nowMs));
                inFlight++;
                host.pace(run, pace.percent(), taken -> answered(run, taken, nowMs, host));
            }
        }
    }

    private void answered(TaskRun run, boolean taken, long nowMs, Host host) {
        inFlight--;
        if (taken) {
            tell(nowMs, host);
        } else {
            told.remove(run);
        }
    }

    private static double worst(List<OrderedRun> runs, Map<TaskRun, Integer> loads) {
        return runs.stream()
                .filter(r -> r.targetLatencyMs() > 0)
                .mapToDouble(r -> (double) loads.getOrDefault(r.run(), 0) / r.targetLatencyMs())
                .max()
                .orElse(0);
    }

    /** Notes why a worker did not take a pace. */
    static void noteFailure(TaskRun run, int percent, PollenreachException e) {
        EVENTS.warn(
                "pace-failed",
                "task",
                run.task(),
                "run",
                run.run(),
                "percent",
                percent,
                "code",
                e.code().number(),
                "error",
                e.getMessage());
    }
}
