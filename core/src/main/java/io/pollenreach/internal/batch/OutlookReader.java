package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Reads from the state, and from the order of the last pass, why the waiting tasks of a job wait.
 *
 * <p>Invariants: it changes nothing, and looks over the workers and the order once for each of at most {@link #MAX_STEPS}
 * steps. Confined to the scheduler's thread.
 */
final class OutlookReader {
    /** How many steps are explained. */
    static final int MAX_STEPS = 4;

    private final SchedulerState state;
    private final List<Unit> order;
    private final WorkerChoice choice;
    private final long nowMs;

    OutlookReader(SchedulerState state, List<Unit> order, long nowMs) {
        this.state = state;
        this.order = order;
        this.nowMs = nowMs;
        choice = new WorkerChoice(state.workers().all(), state.evacuations(), state.runTimes(), nowMs);
    }

    /** Returns the outlook of a job; empty if the job is not known. */
    Optional<JobOutlook> read(String id) {
        JobProgress job = state.jobs().get(id);
        if (job == null) {
            return Optional.empty();
        }
        List<List<TaskProgress>> waiting = job.phase().ended()
                ? List.of()
                : job.readySteps().stream()
                        .map(s -> s.stream().filter(OutlookReader::waits).toList())
                        .filter(s -> !s.isEmpty())
                        .toList();
        List<JobOutlook.Step> steps =
                waiting.stream().limit(MAX_STEPS).map(s -> step(job, s)).toList();
        return Optional.of(new JobOutlook(id, job.phase(), waiting.size(), steps));
    }

    private static boolean waits(TaskProgress t) {
        return t.state() == TaskProgress.State.WAITING;
    }

    private JobOutlook.Step step(JobProgress job, List<TaskProgress> waiting) {
        TaskProgress first = waiting.get(0);
        Optional<Ranked> ranked = find(job, StepId.of(first.id()));
        return new JobOutlook.Step(
                first.id().occurrence(),
                first.id().step(),
                waiting.size(),
                nowMs - first.waitingSinceMs(),
                ranked.map(r -> OptionalInt.of(r.place())).orElseGet(OptionalInt::empty),
                ranked.filter(r -> r.unit().guaranteed()).isPresent(),
                ranked.map(r -> r.unit().timeliness().logName()).orElse(""),
                ranked.map(r -> workers(r.unit())).orElse(List.of()));
    }

    /** Finds the first unit of a step that still waits, with its place among those of its pool. */
    private Optional<Ranked> find(JobProgress job, StepId step) {
        int place = 0;
        for (Unit u : order) {
            // The tasks of a gang are placed together.
            if (!waits(u.tasks().get(0))
                    || !u.job().job().pool().equals(job.job().pool())) {
                continue;
            }
            place++;
            if (u.job() == job && StepId.of(u.first()).equals(step)) {
                return Optional.of(new Ranked(u, place));
            }
        }
        return Optional.empty();
    }

    private List<JobOutlook.Worker> workers(Unit unit) {
        Set<WorkerAllocations> eligible = new HashSet<>(choice.eligible(unit));
        List<JobOutlook.Worker> workers = new ArrayList<>();
        for (WorkerAllocations w : state.workers().all()) {
            if (w.report().pool().equals(unit.job().job().pool())) {
                workers.add(new JobOutlook.Worker(
                        w.name(),
                        w.report().zone(),
                        w.report().rack(),
                        w.free(),
                        nowMs - w.reportedMs(),
                        verdict(w, unit, eligible.contains(w))));
            }
        }
        return workers;
    }

    private PoolWorkerVerdict verdict(WorkerAllocations w, Unit unit, boolean eligible) {
        boolean advised = !unit.job().job().advised()
                || state.advice()
                        .ticket(StepId.of(unit.first()), w.report().instance(), nowMs)
                        .isPresent();
        boolean awayFromData = !choice.mayUseAnyRack(unit)
                && !WorkerChoice.nearData(unit, List.of(w)).contains(w);
        return PoolWorkerVerdict.on(
                new PoolWorker(w, unit, eligible, state.evacuations().covers(w), advised, awayFromData, nowMs));
    }

    /** A unit and its place in the order. Immutable. */
    private record Ranked(Unit unit, int place) {}
}
