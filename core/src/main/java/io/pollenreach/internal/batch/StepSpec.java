package io.pollenreach.internal.batch;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One step of a job: a number of identical tasks that become ready together.
 *
 * <p>Immutable.
 *
 * @param taskCount how many tasks the step has
 * @param need the resources that each task needs
 * @param estimatedMs the submitter's estimate of one task's running time, in milliseconds; often wrong
 * @param after indexes of the steps that must be done before this one starts
 * @param checkpointing whether a stopped task can resume from a checkpoint
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether the tasks slow down when they are spread over racks
 * @param requiredLabel a label that the worker must have; empty for none
 * @param dataRack the rack that holds the input; empty for none
 * @param maxPerWorker how many tasks of one occurrence may run on one worker; 0 for no limit
 * @param speculative whether two runs of one task may overlap
 * @param longRunning whether the tasks run until the job is cancelled
 * @param filler whether the tasks use only processor time that other tasks leave, so that their processor need
 *     is not counted
 * @param maxUnavailable how many tasks of a long-running step the scheduler may interrupt at once; 0 for no limit
 * @param targetLatencyMs the tail latency below which a long-running task must serve requests, in
 *     milliseconds; 0 for none
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

    /** Returns the resources that a task occupies on a worker; those of a filler include no processor time. */
    public Resources occupied() {
        return filler ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /** Returns the resources that all tasks of the step need together. */
    public Resources total() {
        return new Resources(need.milliCpu() * taskCount, need.memoryMb() * taskCount, need.accelerators() * taskCount);
    }

    /** Returns a builder for a step whose tasks need the given resources each. */
    public static Builder builder(int taskCount, Resources need) {
        return new Builder(taskCount, need);
    }

    /** Returns a builder with the values of this step. */
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

    /** Builds a step; values that are not set are off, empty or without limit. Not thread-safe. */
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

        /** Sets whether a stopped task can resume from a checkpoint. */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /** Sets whether the tasks make progress only while all of them run. */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /** Sets whether the tasks slow down when they are spread over racks. */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /** Sets a label that the worker must have. */
        public Builder requiredLabel(String value) {
            requiredLabel = value;
            return this;
        }

        /** Sets the rack that holds the input. */
        public Builder dataRack(String value) {
            dataRack = value;
            return this;
        }

        /** Sets how many tasks of one occurrence may run on one worker. */
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

        /** Sets whether the tasks use only processor time that other tasks leave. */
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
