package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.pollenreach.internal.intake.BacklogSnapshot;
import io.pollenreach.internal.intake.BacklogSnapshot.PoolBacklog;
import io.pollenreach.internal.intake.BacklogSnapshot.PriorityBacklog;
import io.pollenreach.internal.intake.Work;

/**
 * Sums up the work that waits or runs, for the entries to decide on admission.
 *
 * <p>Invariant: only work that is sure to come counts: recurring jobs, long-running steps and what is past use are left out. Costs one walk
 * over the tasks of all jobs that have not ended, so it belongs into a heartbeat and not into a pass. Not thread-safe:
 * confined to the scheduler's thread.
 */
public final class BacklogCounter {
    /** The sums of one pool. */
    private static final class Sums {
        private final Map<Integer, Work> byPriority = new TreeMap<>();
        private final Map<Integer, Work> lateByPriority = new HashMap<>();
        private final Map<Integer, Map<String, Work>> waitingByPriority = new HashMap<>();
        private Resources capacity = Resources.NONE;

        private Map<String, Work> waiting(int priority) {
            return waitingByPriority.computeIfAbsent(priority, p -> new HashMap<>());
        }
    }

    private final SchedulerState state;
    private final Map<String, Resources> largestByPool = new HashMap<>();

    /** Creates a counter of the work of a state. */
    public BacklogCounter(SchedulerState state) {
        this.state = state;
    }

    /**
     * Counts the work at a time by the scheduler's monotonic clock and by the wall clock; only the numbers of tasks while all
     * workers are alike, since then no objective counts.
     */
    public BacklogSnapshot count(long nowMs, long wallMs) {
        TaskBudget tasks = new TaskBudget();
        // A job that the scheduler has not opened yet will need its tasks as well.
        state.activeJobs()
                .forEach(j -> tasks.take(
                        j.job().workspace(), Math.max(j.taskCount(), j.job().tasksPerOccurrence())));
        JobTiming.Context context = state.timingContext(nowMs, wallMs);
        if (!context.uneven()) {
            return new BacklogSnapshot(List.of(), Map.of(), tasks.taken(), largest(tasks.takenByWorkspace()));
        }
        Map<String, Sums> sumsByPool = new TreeMap<>();
        state.workers().all().forEach(w -> addWorker(w.report(), sumsByPool));
        Map<String, Long> urgent = new HashMap<>();
        for (JobProgress job : state.activeJobs()) {
            Sums sums = sumsByPool.get(job.job().pool());
            boolean guaranteed = isGuaranteed(job.job(), urgent);
            if (sums != null && job.job().recurrence() == null) {
                addJob(job, guaranteed, sums, context);
            }
        }
        List<PoolBacklog> pools = sumsByPool.entrySet().stream()
                .limit(BacklogSnapshot.MAX_POOLS)
                .map(e -> toBacklog(e.getKey(), e.getValue()))
                .toList();
        return new BacklogSnapshot(pools, urgent, tasks.taken(), largest(tasks.takenByWorkspace()));
    }

    private static Map<String, Long> largest(Map<String, Long> byWorkspace) {
        return byWorkspace.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed().thenComparing(Map.Entry.comparingByKey()))
                .limit(BacklogSnapshot.MAX_WORKSPACES)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private void addWorker(WorkerReport report, Map<String, Sums> sumsByPool) {
        if (report.pool().isEmpty() || report.capacity().equals(Resources.NONE)) {
            return;
        }
        largestByPool.merge(report.pool(), report.capacity(), BacklogCounter::largest);
        if (!report.lost()) {
            Sums sums = sumsByPool.computeIfAbsent(report.pool(), p -> new Sums());
            sums.capacity = sums.capacity.plus(report.capacity());
        }
    }

    private static Resources largest(Resources a, Resources b) {
        return new Resources(
                Math.max(a.milliCpu(), b.milliCpu()),
                Math.max(a.memoryMb(), b.memoryMb()),
                Math.max(a.accelerators(), b.accelerators()));
    }

    /** Tells whether a job is within its workspace's guarantee, as a placement pass does, and counts its accelerators. */
    private boolean isGuaranteed(BatchJob job, Map<String, Long> urgent) {
        if (job.priority() != 0) {
            return false;
        }
        long need = urgent.merge(job.workspace(), (long) job.accelerators(), Long::sum);
        return need <= state.guarantee(job.workspace());
    }

    private void addJob(JobProgress job, boolean guaranteed, Sums sums, JobTiming.Context context) {
        int priority = job.job().priority();
        JobTiming timing = new JobTiming(job, context);
        for (int s = 0; s < job.job().steps().size(); s++) {
            StepSpec spec = job.job().steps().get(s);
            if (spec.longRunning()) {
                continue;
            }
            RunTimes.Expectation expected = state.runTimes().of(job.job(), s);
            Collection<TaskProgress> tasks = job.stepTasks(s);
            int unplaced = tasks.isEmpty() ? spec.taskCount() : 0;
            long remainingMs = 0;
            for (TaskProgress t : tasks) {
                unplaced += t.state() == TaskProgress.State.WAITING ? 1 : 0;
                remainingMs += t.state() == TaskProgress.State.PLACED
                        ? t.remainingMs(expected, WorkerSpeeds.NOMINAL, context.nowMs())
                        : 0;
            }
            Work waiting = Work.of(spec.occupied(), unplaced * expected.medianMs());
            Timeliness timeliness = timing.timeliness(0, s, unplaced);
            Work useful = timeliness == Timeliness.PAST_USE ? Work.NONE : waiting;
            sums.byPriority.merge(priority, useful.plus(Work.of(spec.occupied(), remainingMs)), Work::plus);
            if (timeliness == Timeliness.LATE) {
                sums.lateByPriority.merge(priority, waiting, Work::plus);
            } else if (timeliness == Timeliness.IN_TIME && !guaranteed && unplaced > 0) {
                sums.waiting(priority).merge(job.job().workspace(), waiting, Work::plus);
            }
        }
    }

    private PoolBacklog toBacklog(String pool, Sums sums) {
        Map<Integer, PriorityBacklog> byPriority = new HashMap<>();
        sums.byPriority.entrySet().stream()
                .limit(BacklogSnapshot.MAX_PRIORITIES)
                .forEach(e -> byPriority.put(
                        e.getKey(),
                        new PriorityBacklog(
                                e.getValue(),
                                sums.lateByPriority.getOrDefault(e.getKey(), Work.NONE),
                                most(sums.waiting(e.getKey()), sums.capacity))));
        return new PoolBacklog(pool, sums.capacity, largestByPool.get(pool), byPriority);
    }

    private static Map<String, Work> most(Map<String, Work> byWorkspace, Resources capacity) {
        Comparator<Map.Entry<String, Work>> mostWorkFirst =
                Comparator.comparingDouble(e -> -e.getValue().drainMs(capacity));
        return byWorkspace.entrySet().stream()
                .sorted(mostWorkFirst.thenComparing(Map.Entry.comparingByKey()))
                .limit(BacklogSnapshot.MAX_WORKSPACES)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
