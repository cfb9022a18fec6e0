package io.pollenreach.daemon.internal.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.GrantedLease;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * Registers workers in the store under fencing tokens that rise.
 *
 * <p>Immutable, so safe for use by many threads.
 */
final class Claims {
    private static final Events EVENTS = Events.of(Claims.class);

    private final String agent;
    private final StateStore store;
    private final Clock clock;
    private final long leaseMs;

    Claims(String agent, StateStore store, Clock clock, long leaseMs) {
        this.agent = agent;
        this.store = store;
        this.clock = clock;
        this.leaseMs = leaseMs;
    }

    /** Returns what the store has of this agent. */
    CompletableFuture<Optional<StoredRow>> stored() {
        return store.get(Tables.WORKERS, agent);
    }

    /** Reads a report from its row. */
    static Optional<WorkerReport> report(Optional<StoredRow> row) {
        return row.flatMap(r -> RowCodec.fromRow(r, WorkerReport.class));
    }

    /**
     * Claims a worker: goes on with its incarnation when the store has it under the same process, else begins a new
     * one.
     */
    CompletableFuture<Incarnation> claim(WorkerInfo worker) {
        return stored().thenCompose(row -> claim(worker, row));
    }

    private CompletableFuture<Incarnation> claim(WorkerInfo worker, Optional<StoredRow> row) {
        long before = row.map(StoredRow::version).orElse(0L);
        Optional<WorkerReport> known = report(row);
        Optional<WorkerReport> same =
                known.filter(r -> !r.lost() && r.instance().equals(worker.instance()) && r.bornMs() == worker.bornMs());
        String id =
                same.map(WorkerReport::incarnation).orElse(worker.instance() + "@" + worker.bornMs() + "/" + before);
        List<RunEnd> former = known.map(r -> formerEnds(r, same.isPresent())).orElse(List.of());
        long sequence = same.map(WorkerReport::sequence).orElse(0L) + 1;
        long nowMs = clock.nowMs();
        GrantedLease lease =
                new GrantedLease(leaseMs, known.map(WorkerReport::leaseMs).orElse(0L), nowMs);
        WorkerReport claim = worker.report(agent, id, false, sequence, lease.longestMs(nowMs))
                .withRuns(
                        same.map(WorkerReport::ordersSeen).orElse(0L),
                        same.map(WorkerReport::active).orElse(List.of()),
                        same.map(WorkerReport::ends).orElse(List.of()),
                        former);
        Transaction tx = new Transaction()
                .expect(Tables.WORKERS, agent, before)
                .write(Tables.WORKERS, agent, RowCodec.toValue(claim));
        return store.commit(tx).thenApply(version -> {
            EVENTS.info(
                    "worker-claimed",
                    "incarnation",
                    id,
                    "token",
                    version,
                    "continued",
                    same.isPresent(),
                    "leaseMs",
                    leaseMs,
                    "leaseToldMs",
                    claim.leaseMs());
            return new Incarnation(worker, version, claim, lease, clock.nowMs());
        });
    }

    // They were acknowledged to the worker, so this row is the only place that has them.
    private static List<RunEnd> formerEnds(WorkerReport before, boolean sameIncarnation) {
        List<RunEnd> all = new ArrayList<>(before.formerEnds());
        if (!sameIncarnation) {
            before.ends().stream().filter(e -> e.number() > 0).forEach(all::add);
        }
        return all;
    }

    /**
     * Writes a report that follows the row's version.
     *
     * @return the new version; fails with {@code WRITE_UNKNOWN} when the store takes longer than {@code timeoutMs}
     */
    CompletableFuture<Long> write(long rowVersion, WorkerReport report, long timeoutMs) {
        Transaction tx = new Transaction()
                .expect(Tables.WORKERS, agent, rowVersion)
                .write(Tables.WORKERS, agent, RowCodec.toValue(report));
        return store.commit(tx).orTimeout(timeoutMs, TimeUnit.MILLISECONDS).exceptionally(t -> {
            if (t instanceof TimeoutException) {
                throw new PollenreachException(
                        ResultCode.WRITE_UNKNOWN, "the store did not answer within " + timeoutMs + " ms");
            }
            throw PollenreachException.of(t);
        });
    }
}
