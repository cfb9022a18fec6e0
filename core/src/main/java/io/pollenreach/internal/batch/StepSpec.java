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
        int maxUnavailable) {
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
}
