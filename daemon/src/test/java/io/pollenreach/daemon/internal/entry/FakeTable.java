package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.services.Row;
import io.pollenreach.daemon.internal.services.RowList;
import io.pollenreach.daemon.internal.services.Table;
import io.pollenreach.daemon.internal.services.Write;

/** A table service in memory that can be down or lose answers. Safe for use by many threads. */
final class FakeTable implements Table {
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final List<Runnable> beforeWrite = new ArrayList<>();
    private boolean down;
    private int answersToLose;
    private int readsToFail;
    private boolean downAfterWrite;

    synchronized void down(boolean isDown) {
        down = isDown;
    }

    /** Goes down once the next write has been answered. */
    synchronized void goDownAfterWrite() {
        downAfterWrite = true;
    }

    /** Lets the next writes take effect and their answers be lost. */
    synchronized void loseAnswers(int n) {
        answersToLose = n;
    }

    synchronized void failReads(int n) {
        readsToFail = n;
    }

    /** Runs an action once, just before the next write. */
    synchronized void beforeNextWrite(Runnable action) {
        beforeWrite.add(action);
    }

    @Override
    public synchronized CompletableFuture<Optional<Row>> get(String table, String key) {
        if (down || readsToFail > 0) {
            readsToFail--;
            return failed(ResultCode.PLATFORM_UNAVAILABLE);
        }
        return CompletableFuture.completedFuture(
                Optional.ofNullable(rows.get(table + " " + key)).filter(r -> !r.deleted()));
    }

    @Override
    public synchronized CompletableFuture<RowList> list(String table, String prefix, long since) {
        if (down) {
            return failed(ResultCode.PLATFORM_UNAVAILABLE);
        }
        List<Row> found = rows.values().stream()
                .filter(r -> r.table().equals(table) && r.key().startsWith(prefix) && r.revision() > since)
                .filter(r -> since > 0 || !r.deleted())
                .toList();
        return CompletableFuture.completedFuture(new RowList(revisions.getOrDefault(table, 0L), found));
    }

    @Override
    public CompletableFuture<List<Long>> transact(List<Write> writes) {
        List<Runnable> actions;
        synchronized (this) {
            actions = List.copyOf(beforeWrite);
            beforeWrite.clear();
        }
        actions.forEach(Runnable::run);
        return write(writes);
    }

    private synchronized CompletableFuture<List<Long>> write(List<Write> writes) {
        if (down) {
            return failed(ResultCode.PLATFORM_UNAVAILABLE);
        }
        for (Write w : writes) {
            if (version(w) != w.expectedVersion()) {
                return failed(ResultCode.CONFLICT);
            }
        }
        List<Long> versions = writes.stream().map(this::apply).toList();
        down = downAfterWrite;
        if (answersToLose > 0) {
            answersToLose--;
            return failed(ResultCode.WRITE_UNKNOWN);
        }
        return CompletableFuture.completedFuture(versions);
    }

    private long version(Write w) {
        Row row = rows.get(w.table() + " " + w.key());
        return row == null || row.deleted() ? 0 : row.version();
    }

    private long apply(Write w) {
        long revision = revisions.merge(w.table(), 1L, Long::sum);
        Row old = rows.get(w.table() + " " + w.key());
        long version = old == null ? 1 : old.version() + 1;
        JsonNode value = w.value();
        rows.put(w.table() + " " + w.key(), new Row(w.table(), w.key(), version, revision, value == null, value));
        return version;
    }

    private static <T> CompletableFuture<T> failed(ResultCode code) {
        return CompletableFuture.failedFuture(new PollenreachException(code, "fake"));
    }
}
