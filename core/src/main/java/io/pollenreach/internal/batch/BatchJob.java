package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * A job as it was submitted, with the policy of its queue at that time.
 *
 * <p>Immutable.
 *
 * @param id the submitter's id; unique
 * @param queue the queue that took the job
 * @param workspace the workspace whose key submitted it
 * @param pool the pool of workers that runs it
 * @param priority 0 is the most urgent
 * @param maxAttempts how often a task may fail before the job fails
 * @param payload what the tasks run, handed to workers unchanged
 * @param steps the steps
 * @param recurrence when the steps run again; null for a job that runs once
 * @param advised whether tasks may only run where the queue's advisor allows it
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record BatchJob(
        String id,
        String queue,
        String workspace,
        String pool,
        int priority,
        int maxAttempts,
        String payload,
        List<StepSpec> steps,
        Recurrence recurrence,
        boolean advised) {
    /** The widest step that is taken: a quarter of all tasks that the largest deployment runs at a time. */
    private static final int MAX_TASKS = 10_000;

    /** Creates a job; fails with a numbered error when no worker could ever make sense of its steps. */
    public BatchJob {
        if (steps == null || steps.isEmpty()) {
            throw new PollenreachException(ResultCode.MISSING_FIELD, "steps", "a job needs at least one step");
        }
        steps = List.copyOf(steps);
        for (int i = 0; i < steps.size(); i++) {
            check(steps.get(i), i);
        }
    }

    private static void check(StepSpec step, int index) {
        if (step.taskCount() < 1 || step.taskCount() > MAX_TASKS) {
            String detail = "step " + index + " has " + step.taskCount() + " tasks, not 1 to " + MAX_TASKS;
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "steps", detail);
        }
        if (step.after().stream().anyMatch(a -> a < 0 || a >= index)) {
            String detail = "step " + index + " comes after " + step.after() + ", not after earlier steps only";
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "steps", detail);
        }
    }

    /** Returns how many times the steps run. */
    public int occurrences() {
        return recurrence == null ? 1 : recurrence.times();
    }

    /** Returns when an occurrence may start, in milliseconds since the Unix epoch; 0 for at once. */
    public long dueMs(int occurrence) {
        return recurrence == null ? 0 : recurrence.dueMs(occurrence);
    }

    /** Returns the accelerators that the widest step of one occurrence holds. */
    public int accelerators() {
        return steps.stream().mapToInt(s -> s.total().accelerators()).max().orElse(0);
    }
}
