package io.pollenreach.internal.batch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The orders of one worker; only the scheduler writes them.
 *
 * <p>A run is in exactly one list until the worker's report shows that it has ended, so the two lists together
 * hold all runs that may occupy the worker. Immutable.
 *
 * @param incarnation the incarnation of the worker that the orders are for
 * @param runs runs to start and keep running
 * @param stops runs to stop
 * @param endsTaken the number of the newest end that the scheduler has recorded
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record WorkerOrders(String incarnation, List<OrderedRun> runs, List<TaskRun> stops, long endsTaken) {
    public WorkerOrders {
        incarnation = incarnation == null ? "" : incarnation;
        runs = runs == null ? List.of() : List.copyOf(runs);
        stops = stops == null ? List.of() : List.copyOf(stops);
    }

    /** Returns orders without runs or stops. */
    public static WorkerOrders none(String incarnation) {
        return new WorkerOrders(incarnation, List.of(), List.of(), 0);
    }

    /**
     * A run to start.
     *
     * <p>Immutable.
     *
     * @param run the run
     * @param payload what the run executes, unchanged from the job; empty if {@code payloadInJob}
     * @param checkpoint the checkpoint to resume from; empty for none
     * @param ticket the ticket that the queue's advisor issued for this worker; empty for none
     * @param targetLatencyMs the tail latency below which the run must serve requests, in milliseconds; 0 for none
     * @param filler whether the run is throttled in favour of runs with a latency target
     * @param payloadInJob whether the payload must be read from the job's row, because that of all runs together is too
     *     large for the row of the orders
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    public record OrderedRun(
            TaskRun run,
            String payload,
            String checkpoint,
            String ticket,
            int targetLatencyMs,
            boolean filler,
            boolean payloadInJob) {
        public OrderedRun {
            RequiredField.of(run, "run");
            payload = payload == null ? "" : payload;
            checkpoint = checkpoint == null ? "" : checkpoint;
            ticket = ticket == null ? "" : ticket;
        }

        /** Returns an order for a run without a latency target that is not a filler. */
        public static OrderedRun of(TaskRun run, String payload) {
            return new OrderedRun(run, payload, "", "", 0, false, false);
        }

        /** Returns this order without its payload, which is then read from the job's row. */
        public OrderedRun withoutPayload() {
            return new OrderedRun(run, "", checkpoint, ticket, targetLatencyMs, filler, true);
        }

        /** Returns this order with the payload that was read from the job's row. */
        public OrderedRun withPayload(String read) {
            return new OrderedRun(run, read, checkpoint, ticket, targetLatencyMs, filler, false);
        }
    }
}
