package io.pollenreach.daemon.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import io.pollenreach.internal.jobs.JobRecord;

/**
 * The rows of table {@code jobs} that this entry knows.
 *
 * <p>Invariant: a row is only replaced by one with a higher version. Safe for use by many threads; no
 * other lock is taken while its lock is held, and watchers are completed after it is released.
 */
final class JobTable {
    static final String TABLE = "jobs";

    private final Map<String, JobRow> rows = new HashMap<>();
    private final Map<String, Long> deletedVersions = new HashMap<>();
    private final Map<String, List<CompletableFuture<Void>>> watchers = new HashMap<>();
    private long revision;

    /**
     * A job's row.
     *
     * @param key the job's key
     * @param version the row's version
     * @param record the content of the row
     * @param seenAtMs monotonic time at which this entry first read or wrote this version
     */
    record JobRow(String key, long version, JobRecord record, long seenAtMs) {}

    /** Stores a row if it is newer than the known one; returns whether it was. */
    boolean putIfNewer(JobRow row) {
        List<CompletableFuture<Void>> due;
        synchronized (this) {
            JobRow old = rows.get(row.key());
            boolean deleted = deletedVersions.getOrDefault(row.key(), 0L) >= row.version();
            if (deleted || old != null && old.version() >= row.version()) {
                return false;
            }
            rows.put(row.key(), row);
            due = watchers.remove(row.key());
        }
        complete(due);
        return true;
    }

    /** Removes a row that was deleted at the given version. */
    void remove(String key, long version) {
        List<CompletableFuture<Void>> due;
        synchronized (this) {
            JobRow old = rows.get(key);
            if (old != null && old.version() < version) {
                rows.remove(key);
            }
            deletedVersions.put(key, version);
            due = watchers.remove(key);
        }
        complete(due);
    }

    synchronized Optional<JobRow> get(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    synchronized List<JobRow> list(Predicate<JobRow> filter) {
        return rows.values().stream().filter(filter).toList();
    }

    /** Returns the table revision up to which all rows are known. */
    synchronized long revision() {
        return revision;
    }

    synchronized void advanceRevision(long known) {
        revision = Math.max(revision, known);
    }

    /** Returns a future that completes once the row's version exceeds {@code since}. */
    CompletableFuture<Void> whenNewerThan(String key, long since) {
        CompletableFuture<Void> f = new CompletableFuture<>();
        synchronized (this) {
            JobRow row = rows.get(key);
            if (row == null || row.version() <= since) {
                watchers.computeIfAbsent(key, k -> new ArrayList<>()).add(f);
                return f;
            }
        }
        f.complete(null);
        return f;
    }

    /** Completes all watchers because this process is shutting down. */
    void completeAllWatchers() {
        List<CompletableFuture<Void>> due;
        synchronized (this) {
            due = watchers.values().stream().flatMap(List::stream).toList();
            watchers.clear();
        }
        complete(due);
    }

    /** Removes a watcher that {@link #whenNewerThan} returned. */
    synchronized void removeWatcher(String key, CompletableFuture<Void> watcher) {
        List<CompletableFuture<Void>> list = watchers.get(key);
        if (list == null) {
            return;
        }
        list.remove(watcher);
        if (list.isEmpty()) {
            watchers.remove(key);
        }
    }

    private static void complete(List<CompletableFuture<Void>> due) {
        if (due != null) {
            due.forEach(f -> f.complete(null));
        }
    }
}
