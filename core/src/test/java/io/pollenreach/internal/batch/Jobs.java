package io.pollenreach.internal.batch;

import java.util.ArrayList;
import java.util.List;

/** Builds jobs for tests. */
final class Jobs {
    private final String id;
    private final List<StepSpec> steps = new ArrayList<>();
    private String workspace = "team";
    private int priority = 1;
    private int attempts = 4;
    private Recurrence recurrence;

    private Jobs(String id) {
        this.id = id;
    }

    static Jobs job(String id) {
        return new Jobs(id);
    }

    Jobs step(StepSpec step) {
        steps.add(step);
        return this;
    }

    Jobs workspace(String name) {
        workspace = name;
        return this;
    }

    Jobs priority(int value) {
        priority = value;
        return this;
    }

    Jobs attempts(int value) {
        attempts = value;
        return this;
    }

    Jobs recurring(int times, long firstDueMs, long intervalMs) {
        recurrence = new Recurrence(times, firstDueMs, intervalMs);
        return this;
    }

    BatchJob build() {
        return new BatchJob(id, "queue", workspace, "pool", priority, attempts, "payload", steps, recurrence);
    }

    static StepSpec step(int tasks, int accelerators) {
        return new StepSpec(
                tasks,
                new Resources(1_000, 1_000, accelerators),
                1_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                false,
                0);
    }

    static StepSpec after(StepSpec s, Integer... before) {
        return copy(s, List.of(before), s.checkpointing(), s.gang());
    }

    static StepSpec gang(StepSpec s) {
        return copy(s, s.after(), s.checkpointing(), true);
    }

    static StepSpec checkpointing(StepSpec s) {
        return copy(s, s.after(), true, s.gang());
    }

    private static StepSpec copy(StepSpec s, List<Integer> after, boolean checkpointing, boolean gang) {
        return new StepSpec(
                s.taskCount(),
                s.need(),
                s.estimatedMs(),
                after,
                checkpointing,
                gang,
                s.sameRack(),
                s.requiredLabel(),
                s.dataRack(),
                s.maxPerWorker(),
                s.speculative(),
                s.longRunning(),
                s.filler(),
                s.maxUnavailable());
    }
}
