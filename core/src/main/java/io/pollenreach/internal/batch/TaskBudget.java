package io.pollenreach.internal.batch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares the number of tasks that a scheduler keeps among the workspaces.
 *
 * <p>Answers the load of callers whose jobs have very many tasks. A workspace may have as many as all workspaces leave
 * unused (a dynamic threshold, as in shared buffers of switches), so one alone gets half of the limit; and a few in any case.
 *
 * <p>Not thread-safe: confined to one thread.
 */
public final class TaskBudget {
    /** Tasks that a scheduler keeps at a time; some hundred bytes each, with their rows, are a quarter of an entry's heap. */
    public static final int MAX_TASKS = 100_000;

    /** Tasks that each workspace may have, whatever the others have. */
    static final int OWN_TASKS = 1_000;

    private final Map<String, Long> takenByWorkspace = new HashMap<>();
    private long taken;

    /** Returns the budget after what some jobs have open. */
    static TaskBudget of(Collection<JobProgress> jobs) {
        TaskBudget budget = new TaskBudget();
        jobs.forEach(j -> budget.take(j.job().workspace(), j.taskCount()));
        return budget;
    }

    /** Tells whether a workspace may have more tasks. */
    public static boolean admits(long ofWorkspace, long ofAll, long more) {
        return ofWorkspace + more <= OWN_TASKS || ofWorkspace + more <= MAX_TASKS - ofAll - more;
    }

    /** Counts tasks that a workspace has, whether or not it might have them. */
    public void take(String workspace, long tasks) {
        takenByWorkspace.merge(workspace, tasks, Long::sum);
        taken += tasks;
    }

    /** Counts more tasks of a workspace if it may have them; tells whether it may. */
    public boolean tryTake(String workspace, long more) {
        boolean admitted = admits(takenByWorkspace.getOrDefault(workspace, 0L), taken, more);
        if (admitted) {
            take(workspace, more);
        }
        return admitted;
    }

    /** Returns how many tasks all workspaces have. */
    long taken() {
        return taken;
    }

    /** Returns how many tasks each workspace has. */
    Map<String, Long> takenByWorkspace() {
        return Collections.unmodifiableMap(takenByWorkspace);
    }
}
