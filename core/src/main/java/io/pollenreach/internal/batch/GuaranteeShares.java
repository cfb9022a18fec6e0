package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Which work of priority 0 is covered by its workspace's guarantee, and how much the workspaces have borrowed beyond it.
 *
 * <p>A guarantee covers the occurrences of a workspace's jobs of priority 0, in the order of acceptance, up to the first one
 * with which they need more accelerators than guaranteed. What the rest holds counts as borrowed as far as it exceeds what the
 * covered ones leave of the guarantee; which of these runs are given back is decided by who needs what. So the choice depends
 * on the jobs alone, and does not change by what is stopped for it.
 *
 * <p>Confined to one placement pass; not thread-safe.
 */
final class GuaranteeShares {
    private static final int NONE_COVERED = -1;

    private final Collection<JobProgress> jobs;
    /** The number of the last occurrence of each job that is covered. */
    private final Map<JobProgress, Integer> lastCovered = new HashMap<>();
    /** The accelerators of each workspace's guarantee that its covered jobs do not need. */
    private final Map<String, Long> leftByWorkspace = new HashMap<>();

    /**
     * Divides the guarantees.
     *
     * @param jobs the jobs that have not ended, oldest first, with their open occurrences
     * @param guarantees returns the accelerators guaranteed to a workspace
     */
    GuaranteeShares(Collection<JobProgress> jobs, ToIntFunction<String> guarantees) {
        this.jobs = jobs;
        Map<String, Long> neededByWorkspace = new HashMap<>();
        for (JobProgress job : jobs) {
            if (job.job().priority() == 0) {
                String workspace = job.job().workspace();
                long guaranteed = guarantees.applyAsInt(workspace);
                long needed = neededByWorkspace.getOrDefault(workspace, 0L);
                neededByWorkspace.put(workspace, needed + cover(job, guaranteed, needed));
            }
        }
    }

    /** Covers what it may of a job; returns what the job needs. */
    private long cover(JobProgress job, long guaranteed, long neededBefore) {
        Set<Integer> open = job.openOccurrences();
        long needed = neededBefore;
        int last = NONE_COVERED;
        // One that is not due yet needs what its next occurrence will.
        for (int k : open.isEmpty() ? Collections.singleton(job.nextOccurrence()) : open) {
            needed += job.job().accelerators();
            if (needed <= guaranteed) {
                last = k;
                leftByWorkspace.put(job.job().workspace(), guaranteed - needed);
            }
        }
        if (last == NONE_COVERED) {
            leftByWorkspace.putIfAbsent(job.job().workspace(), guaranteed);
        }
        lastCovered.put(job, last);
        return needed - neededBefore;
    }

    /** Tells whether an occurrence of a job is covered. */
    boolean covers(JobProgress job, int occurrence) {
        return occurrence <= lastCovered.getOrDefault(job, NONE_COVERED);
    }

    /** Returns how many accelerators the runs of each workspace hold beyond its guarantee. */
    Map<String, Long> borrowedByWorkspace() {
        Map<String, Long> held = new HashMap<>();
        for (JobProgress job : jobs) {
            if (job.job().priority() == 0 && job.job().accelerators() > 0) {
                long sum = job.tasks()
                        .filter(t -> t.state() == TaskProgress.State.PLACED)
                        .filter(t -> !covers(job, t.id().occurrence()))
                        .mapToLong(t -> job.spec(t.id()).need().accelerators())
                        .sum();
                held.merge(job.job().workspace(), sum, Long::sum);
            }
        }
        held.replaceAll((workspace, sum) -> Math.max(0, sum - leftByWorkspace.getOrDefault(workspace, 0L)));
        return held;
    }
}
