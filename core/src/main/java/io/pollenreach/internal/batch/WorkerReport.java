package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An agent's report on its worker; only that agent writes it, except that the scheduler may mark the worker as lost.
 *
 * <p>Immutable.
 *
 * @param agent the agent's name
 * @param incarnation identifies one incarnation of the worker under one registration
 * @param instance the platform's name of the worker process
 * @param bornMs when the worker process started, in milliseconds since the Unix epoch
 * @param pool the pool that the worker belongs to
 * @param capacity the worker's capacity
 * @param labels the labels that steps may require
 * @param rack the worker's rack; empty if not known
 * @param zone the worker's availability zone
 * @param takesTasks whether new tasks may be started; false while the worker drains or its agent is still
 *     taking it over
 * @param sequence increases with each report of one incarnation
 * @param ordersSeen the version of the newest orders that the agent has applied
 * @param active runs that are active or may still become active
 * @param ends ends that the scheduler has not acknowledged, by increasing number
 * @param formerEnds ends of earlier incarnations that the scheduler had not acknowledged when this incarnation started
 * @param lost set by the scheduler: every run of this incarnation counts as lost
 * @param leaseMs the longest lease that the worker may hold, in milliseconds past a reading of its clock from before this
 *     report; 0 in reports of earlier versions
 * @param outlook what the worker has announced of its near future; nothing in reports of earlier versions
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record WorkerReport(
        String agent,
        String incarnation,
        String instance,
        long bornMs,
        String pool,
        Resources capacity,
        List<String> labels,
        String rack,
        String zone,
        boolean takesTasks,
        long sequence,
        long ordersSeen,
        List<RunningTask> active,
        List<RunEnd> ends,
        List<RunEnd> formerEnds,
        boolean lost,
        long leaseMs,
        WorkerOutlook outlook) {
    /** An incarnation that no agent registers; stored rows omit empty values, and a report needs one. */
    private static final String UNKNOWN = "unknown";

    /** Creates a report; lists that are missing in older rows are empty, but a report needs its agent. */
    public WorkerReport {
        RequiredField.of(agent, "agent");
        RequiredField.of(incarnation, "incarnation");
        labels = labels == null ? List.of() : List.copyOf(labels);
        active = active == null ? List.of() : List.copyOf(active);
        ends = ends == null ? List.of() : List.copyOf(ends);
        formerEnds = formerEnds == null ? List.of() : List.copyOf(formerEnds);
        capacity = capacity == null ? Resources.NONE : capacity;
        rack = rack == null ? "" : rack;
        zone = zone == null ? "" : zone;
        // Stored rows omit empty values.
        instance = instance == null ? "" : instance;
        pool = pool == null ? "" : pool;
        outlook = outlook == null ? WorkerOutlook.NONE : outlook;
    }

    /** Creates a report of a worker that has announced nothing. */
    public WorkerReport(
            String agent,
            String incarnation,
            String instance,
            long bornMs,
            String pool,
            Resources capacity,
            List<String> labels,
            String rack,
            String zone,
            boolean takesTasks,
            long sequence,
            long ordersSeen,
            List<RunningTask> active,
            List<RunEnd> ends,
            List<RunEnd> formerEnds,
            boolean lost,
            long leaseMs) {
        this(
                agent,
                incarnation,
                instance,
                bornMs,
                pool,
                capacity,
                labels,
                rack,
                zone,
                takesTasks,
                sequence,
                ordersSeen,
                active,
                ends,
                formerEnds,
                lost,
                leaseMs,
                WorkerOutlook.NONE);
    }

    /**
     * Tells whether the list of runs is complete; true if there is no worker.
     *
     * <p>The report with which an agent registers an incarnation lists none, because the worker has not been asked yet.
     * An agent reads its orders first, then asks the worker under the new fencing token, which voids earlier orders,
     * and only then reports again.
     */
    public boolean listsRuns() {
        return instance.isEmpty() || ordersSeen > 0;
    }

    /** Tells whether none of the worker's runs can be active: it is lost, or its process is gone. */
    boolean hasNoRuns() {
        return lost || instance.isEmpty();
    }

    /** Returns what stands in for a report that cannot be read; the incarnation is that of the orders, empty for none. */
    static WorkerReport unknown(String agent, String incarnation) {
        return new WorkerReport(
                agent,
                incarnation.isEmpty() ? UNKNOWN : incarnation,
                "",
                0,
                "",
                Resources.NONE,
                List.of(),
                "",
                "",
                false,
                0,
                0,
                List.of(),
                List.of(),
                List.of(),
                false,
                0);
    }

    /** Returns a copy of this report that is marked as lost. */
    public WorkerReport withLostMark() {
        return copy(ordersSeen, active, ends, formerEnds, true, outlook);
    }

    /** Returns a copy of this report with other runs and ends. */
    public WorkerReport withRuns(
            long ordersSeen, List<RunningTask> active, List<RunEnd> ends, List<RunEnd> formerEnds) {
        return copy(ordersSeen, active, ends, formerEnds, lost, outlook);
    }

    /** Returns a copy of this report with another outlook. */
    public WorkerReport withOutlook(WorkerOutlook other) {
        return copy(ordersSeen, active, ends, formerEnds, lost, other);
    }

    private WorkerReport copy(
            long seen,
            List<RunningTask> running,
            List<RunEnd> newEnds,
            List<RunEnd> oldEnds,
            boolean isLost,
            WorkerOutlook newOutlook) {
        return new WorkerReport(
                agent,
                incarnation,
                instance,
                bornMs,
                pool,
                capacity,
                labels,
                rack,
                zone,
                takesTasks,
                sequence,
                seen,
                running,
                newEnds,
                oldEnds,
                isLost,
                leaseMs,
                newOutlook);
    }

    /** Tells whether the worker has a label; true for an empty label. */
    public boolean has(String label) {
        return label.isEmpty() || labels.contains(label);
    }
}
