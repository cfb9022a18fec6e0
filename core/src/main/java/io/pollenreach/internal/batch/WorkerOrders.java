package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Everything that one worker is to do, written by the scheduler alone.
 *
 * <p>A run stands in exactly one list until the worker's report shows that it is gone: so the two lists together are what
 * may occupy the worker. Immutable.
 *
 * @param incarnation the incarnation of the worker that the orders are for
 * @param runs runs to start and keep
 * @param stops runs to end
 * @param endsTaken the number of the newest end that the scheduler has recorded
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record WorkerOrders(String incarnation, List<OrderedRun> runs, List<TaskRun> stops, long endsTaken) {
    public WorkerOrders {
        runs = runs == null ? List.of() : List.copyOf(runs);
        stops = stops == null ? List.of() : List.copyOf(stops);
    }

    /** Returns orders to do nothing. */
    public static WorkerOrders none(String incarnation) {
        return new WorkerOrders(incarnation, List.of(), List.of(), 0);
    }

    /**
     * A run to start.
     *
     * <p>Immutable.
     *
     * @param run the run
     * @param payload what it runs
     * @param checkpoint the saved work to go on from; empty for none
     * @param ticket what the queue's advisor gave for this worker; empty for none
     * @param targetLatencyMs the tail latency below which it must serve its own users; 0 for none
     * @param filler whether it must give way to runs with such a target
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record OrderedRun(
            TaskRun run, String payload, String checkpoint, String ticket, int targetLatencyMs, boolean filler) {
        public OrderedRun {
            payload = payload == null ? "" : payload;
            checkpoint = checkpoint == null ? "" : checkpoint;
            ticket = ticket == null ? "" : ticket;
        }

        /** Returns an order of a run that neither has a target nor gives way. */
        public static OrderedRun of(TaskRun run, String payload) {
            return new OrderedRun(run, payload, "", "", 0, false);
        }
    }
}
