package io.pollenreach.internal.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Restores workers from stored rows, and holds the runs of those whose rows cannot be read.
 *
 * <p>Invariants: the run of a placed task is held until its worker's agent has listed the end, the worker is lost, or its
 * process is gone. If the orders of a worker are not known, the progress of jobs tells its runs; it takes no tasks, no
 * orders are stored for it, and no task whose last run may be active is placed, until its agent lists what it runs. Not
 * thread-safe: confined to the scheduler's thread.
 */
final class WorkerRecovery {
    private final SchedulerState state;
    private final RunReleases releases;
    private final DecisionLog log;
    /** Workers without a readable report that hold runs only if a placed task names them. */
    private final Map<String, WorkerAllocations> unnamed = new HashMap<>();

    WorkerRecovery(SchedulerState state, RunReleases releases, DecisionLog log) {
        this.state = state;
        this.releases = releases;
        this.log = log;
    }

    /** Adds a worker with what the store has of it; the jobs of its runs must have been added before. */
    void restore(StoredWorker stored) {
        WorkerOrders orders = stored.ordersOrNone();
        WorkerReport report =
                stored.report().orElseGet(() -> WorkerReport.unknown(stored.agent(), orders.incarnation()));
        WorkerAllocations w = new WorkerAllocations(report, stored.reportVersion(), stored.writtenMs());
        w.restore(orders, stored.ordersVersion(), state::occupied, stored.writtenMs());
        if (stored.report().isEmpty()) {
            w.noteUnreadableReport(stored.reportVersion(), stored.writtenMs());
        }
        if (!stored.ordersKnown()) {
            w.forgetOrders();
        }
        if (stored.report().isEmpty() && !stored.mayHoldUnknownRuns()) {
            unnamed.put(w.name(), w);
            return;
        }
        state.workers().add(w);
        if (w.isReadable()) {
            state.applyReport(w, report, stored.reportVersion(), LossReason.MARKED_BEFORE, stored.writtenMs());
        }
    }

    /**
     * Completes a restore: holds or requeues tasks whose run is in no worker's orders, and stops the runs of jobs that
     * have ended and those that were given up.
     *
     * <p>Progress is stored before or together with the orders, and a task's placement is removed from its progress no
     * later than from the orders. So if the orders of a worker are known and lack a run, it was never ordered, or its worker
     * is gone.
     */
    void finish(long nowMs) {
        // A task that is released may stop others of its gang, so all runs must be held before.
        state.activeJobs().forEach(j -> placed(j).forEach(t -> hold(j, t, nowMs)));
        unnamed.clear();
        for (JobProgress job : state.jobs().values()) {
            // An ended job may have been cancelled while there was no leader; its workers were then added after the
            // cancellation. Its tasks stay placed, and their runs may have ended long ago.
            boolean ended = job.phase().ended();
            placed(job).forEach(ended ? t -> state.stop(t, nowMs) : t -> releaseUnlessOrdered(job, t, nowMs));
        }
        state.workers().all().forEach(w -> stopUnplaced(w, nowMs));
        state.workers().all().stream().filter(w -> !w.isReadable()).forEach(w -> logHeld(w, nowMs));
    }

    /**
     * Stops the runs in a worker's orders that their tasks are not placed as: the scheduler before gave them up, and had
     * stored that in the progress of their jobs and not yet in the orders.
     */
    private void stopUnplaced(WorkerAllocations w, long nowMs) {
        for (TaskRun run : w.runs()) {
            JobProgress job = state.jobs().get(run.task().job());
            boolean givenUp = job != null
                    && job.find(run.task())
                            .filter(t -> t.isPlacedAs(w.name(), run.run()))
                            .isEmpty();
            if (givenUp && w.stop(run, nowMs)) {
                state.recordChange(w);
                log.logDecision("unplaced-run-stopped", "worker", w.name(), "task", run.task(), "run", run.run());
            }
        }
    }

    private static List<TaskProgress> placed(JobProgress job) {
        return job.tasks().filter(t -> t.state() == TaskProgress.State.PLACED).toList();
    }

    private void hold(JobProgress job, TaskProgress t, long nowMs) {
        WorkerAllocations w = workerOf(t, nowMs);
        if (!w.ordersKnown()) {
            w.order(state.orderOf(job, t, ""), job.spec(t.id()).occupied());
        }
    }

    private void releaseUnlessOrdered(JobProgress job, TaskProgress t, long nowMs) {
        WorkerAllocations w = state.workers().get(t.worker());
        // Another task of its gang may have been released before.
        boolean held = t.state() != TaskProgress.State.PLACED || w.runs().contains(t.taskRun());
        if (!held) {
            releases.release(job, t, reasonWithoutOrders(w), nowMs - w.reportedMs(), nowMs);
        }
    }

    private WorkerAllocations workerOf(TaskProgress t, long nowMs) {
        WorkerAllocations known = state.workers().get(t.worker());
        if (known != null) {
            return known;
        }
        WorkerAllocations w = unnamed.computeIfAbsent(t.worker(), name -> missing(name, nowMs));
        state.workers().add(w);
        return w;
    }

    private static WorkerAllocations missing(String name, long nowMs) {
        WorkerAllocations w = new WorkerAllocations(WorkerReport.unknown(name, ""), 0, nowMs);
        w.noteUnreadableReport(0, nowMs);
        w.forgetOrders();
        return w;
    }

    private static LossReason reasonWithoutOrders(WorkerAllocations w) {
        if (w.report().lost()) {
            return LossReason.MARKED_BEFORE;
        }
        return w.reportReadable() && w.report().instance().isEmpty()
                ? LossReason.PROCESS_CHANGED
                : LossReason.NOT_ORDERED;
    }

    private void logHeld(WorkerAllocations w, long nowMs) {
        log.logDecision(
                "worker-unreadable",
                "worker",
                w.name(),
                "report",
                w.reportVersion(),
                "reportReadable",
                w.reportReadable(),
                "ordersKnown",
                w.ordersKnown(),
                "reportAgeMs",
                nowMs - w.reportedMs(),
                "runsHeld",
                w.runs().size());
    }

    /**
     * Takes the first report of a worker whose orders are not known; tells whether they are known now. A report with which
     * an agent only registers its worker does not tell what that runs.
     */
    boolean takeOrdersFrom(WorkerAllocations w, WorkerReport report, long nowMs) {
        report.formerEnds().forEach(e -> state.applyEnd(w, e, nowMs));
        if (!report.lost() && !report.listsRuns()) {
            return false;
        }
        w.adoptOrders();
        state.recordChange(w);
        return true;
    }

    /**
     * Gives up the runs that a worker's first report does not list, once its ends were taken. They are stopped, because
     * orders for them may yet arrive, and hold their resources until the agent has seen that.
     */
    void releaseUnlisted(WorkerAllocations w, long previousAgeMs, long nowMs) {
        if (w.report().instance().isEmpty()) {
            releases.releaseAll(w, LossReason.PROCESS_CHANGED, previousAgeMs, nowMs);
            return;
        }
        Set<TaskRun> listed = w.report().active().stream().map(RunningTask::run).collect(Collectors.toSet());
        List<TaskRun> unlisted =
                w.runs().stream().filter(r -> !listed.contains(r)).toList();
        log.logDecision(
                "worker-orders-rebuilt",
                "worker",
                w.name(),
                "incarnation",
                w.report().incarnation(),
                "previousReportAgeMs",
                previousAgeMs,
                "runs",
                w.runs().size() - unlisted.size(),
                "unlisted",
                unlisted.size());
        releases.releaseStopped(w, unlisted, LossReason.NOT_LISTED, previousAgeMs, nowMs);
    }
}
