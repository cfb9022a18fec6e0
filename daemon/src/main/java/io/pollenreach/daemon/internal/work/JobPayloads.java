package io.pollenreach.daemon.internal.work;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * Reads the payload of orders that do not carry it from the rows of their jobs.
 *
 * <p>Invariant: one read of a job is under way at a time, and a failed one is forgotten. Thread-safe.
 */
final class JobPayloads {
    /** Jobs whose payload is kept; the tasks of a job are mostly ordered together. */
    private static final int MAX_JOBS = 32;

    private final StateStore store;
    private final Map<String, CompletableFuture<String>> byJob = new LinkedHashMap<>(MAX_JOBS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CompletableFuture<String>> eldest) {
            return size() > MAX_JOBS;
        }
    };

    JobPayloads(StateStore store) {
        this.store = store;
    }

    /**
     * Returns an order with the payload of its job.
     *
     * @return fails with {@code NOT_FOUND} if the job is not stored or not readable, and as {@link StateStore#get} does
     */
    CompletableFuture<WorkerOrders.OrderedRun> read(WorkerOrders.OrderedRun order) {
        return payload(order.run().task().job()).thenApply(order::withPayload);
    }

    private CompletableFuture<String> payload(String job) {
        CompletableFuture<String> read;
        synchronized (byJob) {
            CompletableFuture<String> known = byJob.get(job);
            if (known != null && !known.isCompletedExceptionally()) {
                return known;
            }
            read = store.get(Tables.JOBS, job).thenApply(row -> row.flatMap(JobPayloads::payload)
                    .orElseThrow(() -> new PollenreachException(
                            ResultCode.NOT_FOUND, "the job " + job + " of an order is not in the store")));
            byJob.put(job, read);
        }
        return read;
    }

    private static Optional<String> payload(StoredRow row) {
        return RowCodec.fromRow(row, BatchJob.class).map(BatchJob::payload);
    }
}
