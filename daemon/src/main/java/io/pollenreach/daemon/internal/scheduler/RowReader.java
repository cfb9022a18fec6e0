package io.pollenreach.daemon.internal.scheduler;

import java.util.Optional;
import java.util.function.Function;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.WorkerReport;

/** Reads the rows of others one by one, so that one that makes no sense costs nothing but itself. Stateless. */
final class RowReader {
    private static final Events EVENTS = Events.of(RowReader.class);

    private RowReader() {}

    /**
     * Handles a row; one that makes no sense is logged and left out, since every later leader would read it again.
     *
     * @return whether the row was handled
     */
    static boolean handle(StoredRow row, Runnable handling) {
        try {
            handling.run();
            return true;
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            EVENTS.warn(
                    "row-rejected",
                    "key",
                    row.key(),
                    "version",
                    row.version(),
                    "code",
                    failure.code().number(),
                    "error",
                    failure.getMessage());
            return false;
        }
    }

    /** Reads an agent's report. */
    static Optional<WorkerReport> report(StoredRow row) {
        return inItsPlace(row, RowCodec.fromRow(row, WorkerReport.class), WorkerReport::agent);
    }

    /** Reads a job. */
    static Optional<BatchJob> job(StoredRow row) {
        return inItsPlace(row, RowCodec.fromRow(row, BatchJob.class), BatchJob::id);
    }

    /** Leaves out what stands under another key than its own name, which only other writers do. */
    private static <T> Optional<T> inItsPlace(StoredRow row, Optional<T> content, Function<T, String> nameOf) {
        Optional<String> name = content.map(nameOf);
        if (name.isEmpty() || name.get().equals(row.key())) {
            return content;
        }
        EVENTS.warn("row-misplaced", "key", row.key(), "version", row.version(), "name", name.get());
        return Optional.empty();
    }
}
