package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * What an agent says of its worker; only that agent writes it, but for the scheduler's mark that the worker is lost.
 *
 * <p>Immutable.
 *
 * @param agent the agent's name
 * @param incarnation names one incarnation of the worker under one registration; whatever an earlier incarnation ran is gone
 * @param instance the platform's name of the worker process
 * @param bornMs when the worker process started, in milliseconds since the Unix epoch
 * @param pool the pool that the worker belongs to
 * @param capacity what the worker has
 * @param labels what steps may require of it
 * @param rack its rack; empty when not known
 * @param zone its availability zone
 * @param takesTasks whether new tasks may be started on it; not while it drains or its agent still takes it over
 * @param sequence rises with each report of one incarnation
 * @param ordersSeen the version of the newest orders that the agent has taken up
 * @param active runs that are or may still come to be at work
 * @param ends ends that the scheduler has not confirmed, by rising number
 * @param formerEnds ends of earlier incarnations that the scheduler had not confirmed when this incarnation began
 * @param lost set by the scheduler: every run of this incarnation is taken to be gone
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
        boolean lost) {
    /** Creates a report; lists that are missing in older rows are empty. */
    public WorkerReport {
        labels = labels == null ? List.of() : List.copyOf(labels);
        active = active == null ? List.of() : List.copyOf(active);
        ends = ends == null ? List.of() : List.copyOf(ends);
        formerEnds = formerEnds == null ? List.of() : List.copyOf(formerEnds);
        capacity = capacity == null ? Resources.NONE : capacity;
        rack = rack == null ? "" : rack;
        zone = zone == null ? "" : zone;
        // Rows leave out what is empty.
        instance = instance == null ? "" : instance;
        pool = pool == null ? "" : pool;
    }

    /** Returns the same report with the mark that the worker is lost. */
    public WorkerReport withLostMark() {
        return copy(ordersSeen, active, ends, formerEnds, true);
    }

    /** Returns the same report with what is known of the worker's runs. */
    public WorkerReport withRuns(
            long ordersSeen, List<RunningTask> active, List<RunEnd> ends, List<RunEnd> formerEnds) {
        return copy(ordersSeen, active, ends, formerEnds, lost);
    }

    private WorkerReport copy(
            long seen, List<RunningTask> running, List<RunEnd> newEnds, List<RunEnd> oldEnds, boolean isLost) {
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
                isLost);
    }

    /** Returns whether the worker carries a label. */
    public boolean has(String label) {
        return label.isEmpty() || labels.contains(label);
    }
}
