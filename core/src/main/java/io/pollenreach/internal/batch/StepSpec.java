package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One step of a job: a number of like tasks that become ready together.
 *
 * <p>Immutable.
 *
 * @param taskCount how many tasks the step has
 * @param need what each task takes of a worker
 * @param estimatedMs the submitter's estimate of one task's running time, in milliseconds; often wrong
 * @param after indexes of the steps that must be done before this one starts
 * @param checkpointing whether a task that was stopped can go on from saved work
 * @param gang whether the tasks work only while all of them run
 * @param sameRack whether the tasks slow down when they are spread over racks
 * @param requiredLabel a label that the worker must carry; empty for none
 * @param dataRack the rack that holds the input; empty for none
 * @param maxPerWorker how many tasks of one occurrence may share a worker; 0 for no limit
 * @param speculative whether two runs of one task may overlap
 * @param longRunning whether the tasks run until the job is cancelled
 * @param filler whether the tasks only use processor time that others leave, so that their need of it is not counted
 * @param maxUnavailable how many tasks of a long-running step the scheduler may interrupt at once; 0 for no limit
 * @param targetLatencyMs the tail latency below which a long-running task must serve its own users; 0 for none
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record StepSpec(
        int taskCount,
        Resources need,
        long estimatedMs,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean longRunning,
        boolean filler,
        int maxUnavailable,
        int targetLatencyMs) {
    public StepSpec {
        need = need == null ? Resources.NONE : need;
        after = after == null ? List.of() : List.copyOf(after);
        requiredLabel = requiredLabel == null ? "" : requiredLabel;
        dataRack = dataRack == null ? "" : dataRack;
    }

    /** Returns the rack that holds the input. */
    public Optional<String> rackOfData() {
        return dataRack.isEmpty() ? Optional.empty() : Optional.of(dataRack);
    }

    /** Returns what a task occupies on a worker. */
    public Resources occupied() {
        return filler ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /** Returns what all tasks of the step need together. */
    public Resources total() {
        return new Resources(need.milliCpu() * taskCount, need.memoryMb() * taskCount, need.accelerators() * taskCount);
    }

    /** Begins a step of tasks that need this much each. */
    public static Builder builder(int taskCount, Resources need) {
        return new Builder(taskCount, need);
    }

    /** Begins a step that is like this one. */
    public Builder toBuilder() {
        Builder b = new Builder(taskCount, need);
        b.estimatedMs = estimatedMs;
        b.after = after;
        b.checkpointing = checkpointing;
        b.gang = gang;
        b.sameRack = sameRack;
        b.requiredLabel = requiredLabel;
        b.dataRack = dataRack;
        b.maxPerWorker = maxPerWorker;
        b.speculative = speculative;
        b.longRunning = longRunning;
        b.filler = filler;
        b.maxUnavailable = maxUnavailable;
        b.targetLatencyMs = targetLatencyMs;
        return b;
    }

    /** Builds a step; what is not set is off, empty or without limit. Not safe for use by many threads. */
    public static final class Builder {
        private final int taskCount;
        private final Resources need;
        private long estimatedMs;
        private List<Integer> after = List.of();
        private boolean checkpointing;
        private boolean gang;
        private boolean sameRack;
        private String requiredLabel = "";
        private String dataRack = "";
        private int maxPerWorker;
        private boolean speculative;
        private boolean longRunning;
        private boolean filler;
        private int maxUnavailable;
        private int targetLatencyMs;

        private Builder(int taskCount, Resources need) {
            this.taskCount = taskCount;
            this.need = need;
        }

        /** Sets the submitter's estimate of a task's running time, in milliseconds. */
        public Builder estimatedMs(long value) {
            estimatedMs = value;
            return this;
        }

        /** Sets the indexes of the steps that must be done before this one starts. */
        public Builder after(List<Integer> value) {
            after = value;
            return this;
        }

        /** Sets whether a task that was stopped can go on from saved work. */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /** Sets whether the tasks work only while all of them run. */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /** Sets whether the tasks slow down when they are spread over racks. */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /** Sets a label that the worker must carry. */
        public Builder requiredLabel(String value) {
            requiredLabel = value;
            return this;
        }

        /** Sets the rack that holds the input. */
        public Builder dataRack(String value) {
            dataRack = value;
            return this;
        }

        /** Sets how many tasks of one occurrence may share a worker. */
        public Builder maxPerWorker(int value) {
            maxPerWorker = value;
            return this;
        }

        /** Sets whether two runs of one task may overlap. */
        public Builder speculative(boolean value) {
            speculative = value;
            return this;
        }

        /** Sets whether the tasks run until the job is cancelled. */
        public Builder longRunning(boolean value) {
            longRunning = value;
            return this;
        }

        /** Sets whether the tasks only use processor time that others leave. */
        public Builder filler(boolean value) {
            filler = value;
            return this;
        }

        /** Sets how many long-running tasks the scheduler may interrupt at once. */
        public Builder maxUnavailable(int value) {
            maxUnavailable = value;
            return this;
        }

        /** Sets the tail latency below which a long-running task must stay, in milliseconds. */
        public Builder targetLatencyMs(int value) {
            targetLatencyMs = value;
            return this;
        }

        /** Builds the step. */
        public StepSpec build() {
            return new StepSpec(
                    taskCount,
                    need,
                    estimatedMs,
                    after,
                    checkpointing,
                    gang,
                    sameRack,
                    requiredLabel,
                    dataRack,
                    maxPerWorker,
                    speculative,
                    longRunning,
                    filler,
                    maxUnavailable,
                    targetLatencyMs);
        }
    }
}
