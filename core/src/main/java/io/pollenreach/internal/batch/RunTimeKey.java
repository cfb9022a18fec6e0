package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The jobs whose running times are learned together.
 *
 * <p>Immutable.
 *
 * @param pool the pool that runs the jobs
 * @param estimated whether the jobs come with an estimate
 * @param queue the jobs' queue; empty for all of the pool
 * @param step the index of the step; 0 if the queue is empty
 * @param workspace the jobs' workspace; empty for all
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
record RunTimeKey(String pool, boolean estimated, String queue, int step, String workspace) {
    RunTimeKey {
        RequiredField.of(pool, "pool");
        queue = queue == null ? "" : queue;
        workspace = workspace == null ? "" : workspace;
    }

    /** Returns the keys that a step belongs to, the coarsest first. */
    static List<RunTimeKey> of(BatchJob job, int step) {
        boolean estimated = job.steps().get(step).estimatedMs() > 0;
        return List.of(
                new RunTimeKey(job.pool(), estimated, "", 0, ""),
                new RunTimeKey(job.pool(), estimated, job.queue(), step, ""),
                new RunTimeKey(job.pool(), estimated, job.queue(), step, job.workspace()));
    }

    /** Returns how many of the fields narrow the key down: 0 for the coarsest keys. */
    int level() {
        return (queue.isEmpty() ? 0 : 1) + (workspace.isEmpty() ? 0 : 1);
    }

    @Override
    public String toString() {
        return pool + "/" + queue + "/" + step + "/" + workspace;
    }
}
