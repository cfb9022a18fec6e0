package io.pollenreach.daemon.internal.work;

import java.util.List;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.internal.batch.GrantedLease;
import io.pollenreach.internal.batch.RefusedCalls;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.WorkerReport;
import io.pollenreach.internal.routing.AdaptiveLimit;

/**
 * One registration of one worker process; what belongs to an older one is dropped.
 *
 * <p>Not safe for use by many threads: the agent's thread owns it.
 */
final class Incarnation {
    /** Orders in flight to one worker at most: fewer than the agent has connections, so that its poll finds a free one. */
    static final int MAX_ORDERS = 12;

    private static final int INITIAL_ORDERS = 8;

    /** How long a worker that is not overloaded takes for an order, in milliseconds. */
    private static final double EXPECTED_ORDER_MS = 25;

    private static final Events EVENTS = Events.of(Incarnation.class);

    final WorkerInfo worker;
    final String id;
    final long token;
    final LocalRuns runs = new LocalRuns();
    /** Ends of earlier incarnations that the scheduler may not have read. */
    List<RunEnd> formerEnds;
    /** The store's version of this agent's row, on which the next report depends. */
    long rowVersion;

    long sequence;
    /** The version of the newest orders; 0 before any were read. */
    long ordersSeen;

    TableWatch watch;
    /** Whether the worker runs nothing that this agent does not account for. */
    boolean settled;

    /** Whether another process answered at the worker's address, so that this one has ended. */
    boolean replaced;

    /** The newest polls, as long as they find nothing that listens at the worker's address. */
    final RefusedCalls refusedPolls = new RefusedCalls();

    boolean polling;
    boolean reporting;
    boolean reportSoon = true;
    long reportedMs;
    long reportNotBeforeMs;
    long polledMs;
    /** The worker's clock at the last poll, in milliseconds. */
    long runnerClockMs;
    /** The end of the lease on the worker's clock, in milliseconds; 0 for none. */
    long leaseUntilMs;
    /** The number of the newest end that the store has. */
    long endsStored;

    final FillerPacer fillers;

    private int ordersInFlight;
    private final AdaptiveLimit orderLimit = new AdaptiveLimit(1, INITIAL_ORDERS, MAX_ORDERS);

    private final GrantedLease lease;

    Incarnation(WorkerInfo worker, long token, WorkerReport claim, GrantedLease lease, long nowMs) {
        this.lease = lease;
        fillers = new FillerPacer(nowMs);
        this.worker = worker;
        this.token = token;
        id = claim.incarnation();
        sequence = claim.sequence();
        formerEnds = claim.formerEnds();
        rowVersion = token;
        runs.restoreEnds(claim.ends());
    }

    TaskRunner.Authority authority() {
        return new TaskRunner.Authority(worker.instance(), worker.bornMs(), token);
    }

    /** Returns how many more orders may be begun now. */
    int roomForOrders() {
        return Math.max(0, orderLimit.limit() - ordersInFlight);
    }

    /** Records that an order is about to be sent, once what it needs has been read. */
    void beginOrder() {
        ordersInFlight++;
    }

    /** Records that an order was answered, has failed, or is not sent after all. */
    void endOrder() {
        ordersInFlight--;
    }

    /** Records that an order was answered, or failed, after some time in milliseconds. */
    void recordAnswer(long tookMs, Throwable failure) {
        boolean timedOut = failure != null && PollenreachException.of(failure).code() == ResultCode.PEER_TIMEOUT;
        orderLimit.record(ordersInFlight, tookMs, EXPECTED_ORDER_MS, timedOut);
    }

    /** Records that a call failed; none of those that come after reaches this process once another one has answered. */
    void noteFailure(PollenreachException e) {
        if (e.code() == ResultCode.NOT_FOUND && !replaced) {
            replaced = true;
            EVENTS.info("worker-replaced", "incarnation", id);
        }
    }

    /** Tells whether the worker process has ended and none has followed. */
    boolean hasNoWorker() {
        return worker.instance().isEmpty();
    }

    /** Writes the next report. */
    WorkerReport nextReport(String agent, WorkerInfo newest, long nowMs) {
        WorkerInfo w = newest.sameProcess(worker) ? newest : worker;
        boolean takesTasks = settled && !newest.draining();
        return w.report(agent, id, takesTasks, ++sequence, lease.longestMs(nowMs))
                .withRuns(ordersSeen, runs.active(), runs.ends(), formerEnds);
    }
}
