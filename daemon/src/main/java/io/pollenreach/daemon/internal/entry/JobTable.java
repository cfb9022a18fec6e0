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
 * What this entry knows of the rows of table {@code jobs}.
 *
 * <p>Invariant: an entry is only replaced by one with a higher row version. Safe for use by many threads; its lock is a
 * leaf: nothing is called while it is held, and watchers are completed after it is released.
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
     * @param record the content
     * @param seenAtMs monotonic time at which this entry learned of this version
     */
    record JobRow(String key, long version, JobRecord record, long seenAtMs) {}

    /** Takes over a row when it is newer; true when it was. */
    boolean offer(JobRow row) {
        List<CompletableFuture<Void>> woken;
        synchronized (this) {
            JobRow old = rows.get(row.key());
            boolean deleted = deletedVersions.getOrDefault(row.key(), 0L) >= row.version();
            if (deleted || old != null && old.version() >= row.version()) {
                return false;
            }
            rows.put(row.key(), row);
            woken = watchers.remove(row.key());
        }
        wake(woken);
        return true;
    }

    /** Forgets a row that was deleted at a version. */
    void remove(String key, long version) {
        List<CompletableFuture<Void>> woken;
        synchronized (this) {
            JobRow old = rows.get(key);
            if (old != null && old.version() < version) {
                rows.remove(key);
            }
            deletedVersions.put(key, version);
            woken = watchers.remove(key);
        }
        wake(woken);
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

    synchronized void revision(long known) {
        revision = Math.max(revision, known);
    }

    /** Returns a future that completes once the row's version exceeds {@code since}. */
    CompletableFuture<Void> newerThan(String key, long since) {
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

    /** Wakes all watchers, since this process is about to go. */
    void wakeAll() {
        List<CompletableFuture<Void>> woken;
        synchronized (this) {
            woken = watchers.values().stream().flatMap(List::stream).toList();
            watchers.clear();
        }
        wake(woken);
    }

    /** Stops watching. */
    synchronized void forget(String key, CompletableFuture<Void> watcher) {
        List<CompletableFuture<Void>> list = watchers.get(key);
        if (list == null) {
            return;
        }
        list.remove(watcher);
        if (list.isEmpty()) {
            watchers.remove(key);
        }
    }

    private static void wake(List<CompletableFuture<Void>> woken) {
        if (woken != null) {
            woken.forEach(f -> f.complete(null));
        }
    }
}
