package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;

/**
 * Follows who schedules and what that entry publishes.
 *
 * <p>What it believes saves time only: the store's version of the term decides. Safe for use by many threads.
 */
public final class LeaderWatch implements TableWatch.Listener, AutoCloseable {
    /** How long one call waits, in milliseconds: about two beats, so that most calls return with one. */
    private static final long WAIT_MS = 2_000;

    /** Versions to remember: a lease's length of beats, several times over. */
    private static final int MAX_REMEMBERED = 64;

    private final Clock clock;
    private final ConcurrentSkipListMap<Long, Long> seenMs = new ConcurrentSkipListMap<>();
    private final TableWatch watch;
    private volatile String holder = "";
    private volatile long termVersion;
    private volatile long changedMs;
    private volatile boolean known;
    private volatile Map<String, Integer> waitingByQueue = Map.of();

    /** Creates a watch that does nothing yet. */
    public LeaderWatch(StateStore store, Clock clock) {
        this.clock = clock;
        watch = new TableWatch(store, Tables.LEADER, WAIT_MS, clock, this);
    }

    /** Starts to follow. */
    public void start() {
        watch.start();
    }

    @Override
    public void snapshot(Rows rows) {
        remember(rows.version());
        rows.rows().forEach(this::take);
        changedMs = clock.nowMs();
        known = true;
    }

    @Override
    public void changes(Rows rows) {
        remember(rows.version());
        rows.rows().forEach(this::take);
    }

    private void remember(long version) {
        seenMs.putIfAbsent(version, clock.nowMs());
        while (seenMs.size() > MAX_REMEMBERED) {
            seenMs.pollFirstEntry();
        }
    }

    /**
     * Returns a time at which a row of any table surely had been written: that of the first answer with its version or a
     * newer one, since all tables share one counter; now when there was none.
     */
    long writtenBeforeMs(long version) {
        Map.Entry<Long, Long> first = seenMs.ceilingEntry(version);
        return first == null ? clock.nowMs() : first.getValue();
    }

    /** Tells whether the store was heard all the while. */
    boolean healthyFor(long forMs) {
        return watch.healthyFor(forMs);
    }

    private void take(StoredRow row) {
        changedMs = clock.nowMs();
        if (row.key().equals(Tables.TERM)) {
            termVersion = Math.max(termVersion, row.version());
            holder = RowCodec.fromRow(row, LeaderRows.Term.class)
                    .map(LeaderRows.Term::holder)
                    .orElse("");
        } else if (row.key().equals(Tables.BEAT)) {
            RowCodec.fromRow(row, LeaderRows.Heartbeat.class).ifPresent(b -> waitingByQueue = b.waitingByQueue());
        }
    }

    /** Returns how many accepted jobs of a queue have not started, as last published. */
    public int waitingJobs(String queue) {
        return waitingByQueue.getOrDefault(queue, 0);
    }

    /** Tells whether the watch hears the store. */
    public boolean healthy() {
        return known && watch.healthyFor(0);
    }

    /**
     * Tells whether there seems to be no leader: it stepped down, was an earlier process of this entry, or was silent for a
     * time while the store was heard.
     */
    boolean seemsLeaderless(String self, long silenceMs) {
        boolean silent = clock.nowMs() - changedMs > silenceMs;
        return known && (holder.isEmpty() || holder.equals(self) || silent && watch.healthyFor(silenceMs));
    }

    long termVersion() {
        return termVersion;
    }

    @Override
    public void close() {
        watch.close();
    }
}
