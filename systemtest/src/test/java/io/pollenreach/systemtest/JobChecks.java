package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.JobState;
import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryEvent;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import io.pollenreach.systemtest.Violation.Check;

/**
 * Checks what must always hold of jobs, against the history of a platform.
 *
 * <p>Immutable.
 */
final class JobChecks {
    private static final String JOBS = "jobs";

    private final List<HistoryEntry> history;
    private final List<TaskRun> runs;

    JobChecks(List<HistoryEntry> history) {
        this.history = List.copyOf(history);
        runs = TaskRun.of(history);
    }

    /**
     * Checks that the parts of each attempt run together.
     *
     * @param partsByJob how many parts each job has
     * @param skewMs for how long some parts may run while others don't yet or don't any more; a part that succeeded
     *     counts as done
     */
    List<Violation> gangAllOrNothing(Map<String, Integer> partsByJob, long skewMs) {
        List<Violation> found = new ArrayList<>();
        attempts()
                .forEach((job, byAttempt) -> byAttempt.forEach((attempt, parts) -> {
                    long brokenMs = partialMs(parts, partsByJob.getOrDefault(job, 1));
                    if (brokenMs > skewMs) {
                        String detail = "attempt " + attempt + " ran in part for " + brokenMs + " ms: " + parts;
                        found.add(new Violation(Check.GANG_ALL_OR_NOTHING, job, detail));
                    }
                }));
        return found;
    }

    /** Checks that an attempt runs only when every earlier one of the same job has ended. */
    List<Violation> oneAttemptAlive() {
        List<Violation> found = new ArrayList<>();
        attempts().forEach((job, byAttempt) -> {
            long earlierEndMs = Long.MIN_VALUE;
            for (Map.Entry<Integer, List<TaskRun>> e : byAttempt.entrySet()) {
                long startMs =
                        e.getValue().stream().mapToLong(TaskRun::startMs).min().orElse(TaskRun.NEVER);
                if (startMs < earlierEndMs) {
                    String detail = "attempt " + e.getKey() + " started at " + startMs
                            + " while an earlier one ran until " + earlierEndMs;
                    found.add(new Violation(Check.ONE_ATTEMPT_ALIVE, job, detail));
                }
                long endMs = e.getValue().stream()
                        .filter(TaskRun::ran)
                        .mapToLong(TaskRun::endMs)
                        .max()
                        .orElse(Long.MIN_VALUE);
                earlierEndMs = Math.max(earlierEndMs, endMs);
            }
        });
        return found;
    }

    /** Checks that no worker ever holds more accelerators than it has. */
    List<Violation> workerWithinCapacity(Map<String, Integer> acceleratorsByWorker) {
        List<Violation> found = new ArrayList<>();
        Map<String, Integer> held = new HashMap<>();
        for (HistoryEntry e : history) {
            if (e.event() instanceof HistoryEvent.TaskHeld h) {
                int now = held.merge(h.worker(), h.accelerators(), Integer::sum);
                if (now > acceleratorsByWorker.getOrDefault(h.worker(), 0)) {
                    String detail = now + " accelerators held when " + h.task() + " came";
                    found.add(new Violation(Check.WORKER_WITHIN_CAPACITY, h.worker(), detail));
                }
            }
            if (e.event() instanceof HistoryEvent.TaskEnded end) {
                held.merge(end.worker(), -end.accelerators(), Integer::sum);
            }
        }
        return found;
    }

    /** Returns the newest record of each job by its key. */
    Map<String, JobRecord> lastRecords() {
        Map<String, JobRecord> last = new HashMap<>();
        records().forEach(r -> last.put(r.spec().key(), r));
        return last;
    }

    /** Checks that each accepted job has reached a terminal state. */
    List<Violation> everyJobEnds(Collection<String> acceptedJobs) {
        Map<String, JobRecord> last = lastRecords();
        List<Violation> found = new ArrayList<>();
        for (String job : acceptedJobs) {
            JobState state = last.containsKey(job) ? last.get(job).state() : null;
            if (state == null || !state.terminal()) {
                found.add(new Violation(Check.JOB_REACHES_END, job, "its last state is " + state));
            }
        }
        return found;
    }

    /** Checks that the rows of jobs move only as their states allow. */
    List<Violation> transitions() {
        List<Violation> found = new ArrayList<>();
        Map<String, JobRecord> last = new HashMap<>();
        for (JobRecord r : records()) {
            JobRecord before = last.put(r.spec().key(), r);
            if (before != null && !allowed(before, r)) {
                String detail = before.state() + " of attempt " + before.attempt() + " became " + r.state()
                        + " of attempt " + r.attempt();
                found.add(new Violation(Check.JOB_TRANSITION, r.spec().key(), detail));
            }
        }
        return found;
    }

    private static boolean allowed(JobRecord before, JobRecord after) {
        if (before.state() == after.state()) {
            return !before.state().terminal() && before.attempt() == after.attempt();
        }
        int step = after.state() == JobState.STARTING ? 1 : 0;
        return before.state().next().contains(after.state()) && after.attempt() == before.attempt() + step;
    }

    /** Returns all records in the order in which they were written. */
    List<JobRecord> records() {
        return history.stream()
                .map(HistoryEntry::event)
                .filter(HistoryEvent.RowWritten.class::isInstance)
                .map(HistoryEvent.RowWritten.class::cast)
                .filter(w -> w.table().equals(JOBS) && w.value() != null)
                .map(w -> parse(w.value()))
                .filter(Objects::nonNull)
                .toList();
    }

    private static JobRecord parse(JsonNode value) {
        try {
            return Json.lenient().treeToValue(value, JobRecord.class);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a job's row: " + value, e);
        }
    }

    private Map<String, TreeMap<Integer, List<TaskRun>>> attempts() {
        return runs.stream()
                .collect(Collectors.groupingBy(
                        TaskRun::job, Collectors.groupingBy(TaskRun::attempt, TreeMap::new, Collectors.toList())));
    }

    /** Returns for how long some but not all parts ran; a part that succeeded counts as running on. */
    private static long partialMs(List<TaskRun> parts, int expected) {
        List<TaskRun> ran = parts.stream().filter(TaskRun::ran).toList();
        if (ran.isEmpty()) {
            return 0;
        }
        long lastEndMs = ran.stream().mapToLong(TaskRun::endMs).max().orElseThrow();
        List<Edge> edges = new ArrayList<>();
        for (TaskRun r : ran) {
            edges.add(new Edge(r.startMs(), 1));
            edges.add(new Edge(r.succeeded() ? lastEndMs : r.endMs(), -1));
        }
        edges.sort(Comparator.comparingLong(Edge::atMs));
        long partialMs = 0;
        int running = 0;
        long sinceMs = 0;
        for (Edge e : edges) {
            if (running > 0 && running < expected) {
                partialMs = e.atMs == TaskRun.NEVER ? TaskRun.NEVER : partialMs + e.atMs - sinceMs;
            }
            if (partialMs == TaskRun.NEVER) {
                return partialMs;
            }
            running += e.delta;
            sinceMs = e.atMs;
        }
        return partialMs;
    }

    private record Edge(long atMs, int delta) {}
}
