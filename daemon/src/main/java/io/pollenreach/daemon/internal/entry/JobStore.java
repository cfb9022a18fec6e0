package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.daemon.internal.services.Table;
import io.pollenreach.daemon.internal.services.Write;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;

/**
 * Reads and writes the stored rows of jobs, and updates the blackboard's job table with what it reads and writes.
 *
 * <p>Invariant: every change of a row is a compare-and-set on its version, and a write whose response was lost is
 * resolved by reading the row back; a row that cannot be read hides no other. Safe for use by many threads; it holds no lock.
 */
final class JobStore {
    private static final Events EVENTS = Events.of(JobStore.class);
    private static final String ENDED_TABLE = "ended";

    private final Table table;
    private final JobTable jobs;
    private final Clock clock;

    JobStore(Table table, JobTable jobs, Clock clock) {
        this.table = table;
        this.jobs = jobs;
        this.clock = clock;
    }

    /** Creates a row; fails with {@code CONFLICT} if the key is in use, also by an archived job. */
    CompletableFuture<JobRow> create(JobRecord record) {
        String key = record.spec().key();
        return table.get(ENDED_TABLE, key).thenCompose(ended -> {
            if (ended.isPresent()) {
                return CompletableFuture.failedFuture(
                        new PollenreachException(ResultCode.CONFLICT, key + " ended earlier"));
            }
            return write(key, 0, record);
        });
    }

    /** Moves the row of an ended job to the archive in one transaction, and drops it from the job table. */
    CompletableFuture<Void> archive(JobRow row) {
        JsonNode value = Json.lenient().valueToTree(row.record());
        List<Write> writes = List.of(
                new Write(JobTable.TABLE, row.key(), row.version(), null), new Write(ENDED_TABLE, row.key(), 0, value));
        return table.transact(writes).thenAccept(v -> jobs.remove(row.key(), row.version() + 1));
    }

    /**
     * Replaces a row's content; fails with {@code CONFLICT} if the stored version has changed or the state does not
     * allow it.
     */
    CompletableFuture<JobRow> update(JobRow row, UnaryOperator<JobRecord> change) {
        JobRecord next;
        try {
            next = change.apply(row.record());
        } catch (IllegalStateException e) {
            return CompletableFuture.failedFuture(
                    new PollenreachException(ResultCode.CONFLICT, null, e.getMessage(), e));
        }
        return write(row.key(), row.version(), next);
    }

    /** Reads a row from the table service, or from the archive if the job was moved there. */
    CompletableFuture<Optional<JobRow>> read(String key) {
        return table.get(JobTable.TABLE, key).thenCompose(r -> {
            if (r.isPresent()) {
                return CompletableFuture.completedFuture(r.map(this::cache));
            }
            // Not put into the job table: archived jobs are not kept in memory.
            return table.get(ENDED_TABLE, key)
                    .thenApply(e -> e.map(a -> new JobRow(key, a.version(), parse(a), clock.nowMs())));
        });
    }

    /** Reads all rows that changed since the last poll into the job table. */
    CompletableFuture<Void> poll() {
        return table.list(JobTable.TABLE, "", jobs.revision()).thenAccept(this::cacheAll);
    }

    private CompletableFuture<JobRow> write(String key, long expected, JobRecord next) {
        JsonNode value = Json.lenient().valueToTree(next);
        CompletableFuture<Long> written = table.put(new Write(JobTable.TABLE, key, expected, value));
        return written.handle((version, t) -> {
                    if (t == null) {
                        return CompletableFuture.completedFuture(cache(key, version, next));
                    }
                    return resolve(key, next, PollenreachException.of(t));
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<JobRow> resolve(String key, JobRecord next, PollenreachException failure) {
        boolean conflicted = failure.code() == ResultCode.CONFLICT;
        if (!conflicted && failure.code() != ResultCode.WRITE_UNKNOWN) {
            return CompletableFuture.failedFuture(failure);
        }
        // The content contains the attempt's nonce, so finding equal content means that this write took effect.
        return read(key).handle((found, t) -> {
            if (t != null) {
                throw conflicted ? failure : unresolved(failure);
            }
            return found.filter(r -> r.record().equals(next)).orElseThrow(() -> conflict(failure));
        });
    }

    private static PollenreachException unresolved(PollenreachException failure) {
        return new PollenreachException(ResultCode.WRITE_UNKNOWN, null, failure.getMessage(), failure);
    }

    private static PollenreachException conflict(PollenreachException failure) {
        return new PollenreachException(ResultCode.CONFLICT, null, failure.getMessage(), failure);
    }

    private JobRow cache(String key, long version, JobRecord record) {
        JobRow row = new JobRow(key, version, record, clock.nowMs());
        jobs.putIfNewer(row);
        return row;
    }

    private void cacheAll(RowList list) {
        for (Row r : list.rows()) {
            if (r.deleted()) {
                jobs.remove(r.key(), r.version());
            } else {
                cacheIfReadable(r);
            }
        }
        jobs.advanceRevision(list.revision());
    }

    /** Forgets the job of an unreadable row, so that nothing is decided by an earlier version of the row. */
    private void cacheIfReadable(Row r) {
        try {
            cache(r);
        } catch (PollenreachException e) {
            EVENTS.warn("row-unreadable", "table", JobTable.TABLE, "key", r.key(), "why", e.getMessage());
            jobs.remove(r.key(), r.version());
        }
    }

    private JobRow cache(Row r) {
        return cache(r.key(), r.version(), parse(r));
    }

    private static JobRecord parse(Row r) {
        JobRecord record;
        try {
            record = Json.lenient().treeToValue(r.value(), JobRecord.class);
        } catch (JsonProcessingException e) {
            throw new PollenreachException(ResultCode.MALFORMED, null, "row " + r.key() + ": " + e.getMessage(), e);
        }
        if (record == null || !record.complete() || !record.spec().key().equals(r.key())) {
            throw new PollenreachException(ResultCode.MALFORMED, "row " + r.key() + ": not the record of this job");
        }
        return record;
    }
}
