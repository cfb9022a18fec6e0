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
 * @param id the id given by the submitter; unique
 * @param queue the queue that accepted the job
 * @param workspace the workspace with whose key the job was submitted
 * @param pool the pool of workers that runs the job
 * @param priority 0 is the most urgent
 * @param maxAttempts how often a task may fail before the job fails
 * @param payload what the tasks run, handed to workers unchanged
 * @param steps the steps, in an order in which each follows its predecessors
 * @param recurrence when the steps run again; null for a job that runs once
 * @param advised whether tasks may run only on workers that the queue's advisor allows
 * @param objective how fast the job is to be completed; null for a job without an objective
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
        boolean advised,
        JobObjective objective) {
    /** Largest number of tasks in a step: a quarter of the tasks that the largest deployment runs at a time. */
    private static final int MAX_TASKS = 10_000;

    /** Largest number of tasks in occurrences without a time between them. */
    private static final int MAX_TASKS_AT_ONCE = 1_000_000;

    /** Largest need of a task, far beyond any worker, so that sums over all tasks of a step stay in range. */
    private static final Resources MAX_NEED = new Resources(1_000_000_000, 1_000_000_000, 100_000);

    /** Creates a job; throws a {@link PollenreachException} if its steps are invalid. */
    public BatchJob {
        RequiredField.of(id, "id");
        RequiredField.of(queue, "queue");
        RequiredField.of(workspace, "workspace");
        RequiredField.of(pool, "pool");
        if (steps == null || steps.isEmpty()) {
            throw new PollenreachException(ResultCode.MISSING_FIELD, "steps", "a job needs at least one step");
        }
        steps = List.copyOf(steps);
        for (int i = 0; i < steps.size(); i++) {
            check(steps.get(i), i);
        }
        if (recurrence != null) {
            check(recurrence, tasksPerOccurrence(steps));
        }
    }

    /** Creates a job without an objective. */
    public BatchJob(
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
        this(id, queue, workspace, pool, priority, maxAttempts, payload, steps, recurrence, advised, null);
    }

    private static void check(Recurrence recurrence, long tasksPerOccurrence) {
        long tasks = tasksPerOccurrence * recurrence.times();
        if (recurrence.intervalMs() <= 0 && tasks > MAX_TASKS_AT_ONCE) {
            String detail =
                    "the occurrences are due at once and have " + tasks + " tasks; the limit is " + MAX_TASKS_AT_ONCE;
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "recurrence", detail);
        }
    }

    private static void check(StepSpec step, int index) {
        if (step.taskCount() < 1 || step.taskCount() > MAX_TASKS) {
            String detail = "step " + index + " has " + step.taskCount() + " tasks; the limits are 1 to " + MAX_TASKS;
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "steps", detail);
        }
        if (!Resources.NONE.fitsIn(step.need()) || !step.need().fitsIn(MAX_NEED)) {
            String detail =
                    "each task of step " + index + " needs " + step.need() + "; the limits are 0 and " + MAX_NEED;
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "steps", detail);
        }
        if (step.after().stream().anyMatch(a -> a < 0 || a >= index)) {
            String detail = "step " + index + " comes after " + step.after() + "; a step may follow only earlier steps";
            throw new PollenreachException(ResultCode.OUT_OF_RANGE, "steps", detail);
        }
    }

    /** Returns who the job belongs to. */
    public JobOwner owner() {
        return new JobOwner(workspace, queue);
    }

    private static long tasksPerOccurrence(List<StepSpec> steps) {
        return steps.stream().mapToLong(StepSpec::taskCount).sum();
    }

    /** Returns the number of tasks of all steps of one occurrence. */
    public long tasksPerOccurrence() {
        return tasksPerOccurrence(steps);
    }

    /** Returns how many times the steps run. */
    public int occurrences() {
        return recurrence == null ? 1 : recurrence.times();
    }

    /** Returns when an occurrence may start, in milliseconds since the Unix epoch; 0 for immediately. */
    public long dueMs(int occurrence) {
        return recurrence == null ? 0 : recurrence.dueMs(occurrence);
    }

    /** Returns the number of accelerators that the largest step of one occurrence needs. */
    public int accelerators() {
        return steps.stream().mapToInt(s -> s.total().accelerators()).max().orElse(0);
    }
}
