package io.pollenreach.daemon.internal.scheduler;

import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentSkipListMap;

import io.pollenreach.Clock;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.intake.BacklogSnapshot;
import io.pollenreach.internal.intake.PublishedBacklog;
import io.pollenreach.internal.intake.PublishedCounts;

/**
 * Follows the leader table: which entry leads, and the queue lengths that it publishes.
 *
 * <p>Its view may be out of date and is only a hint; the store's version of the term decides. Thread-safe.
 */
public final class LeaderWatch implements TableWatch.Listener, AutoCloseable {
    /** How long one call waits, in milliseconds: about two heartbeats, so that most calls return with one. */
    private static final long WAIT_MS = 2_000;

    /** Versions whose time is kept: several times the number of heartbeats during a lease. */
    private static final int MAX_RECORDED_VERSIONS = 64;

    private static final Events EVENTS = Events.of(LeaderWatch.class);

    private final Clock clock;
    private final ConcurrentSkipListMap<Long, Long> firstSeenMsByVersion = new ConcurrentSkipListMap<>();
    private final TableWatch watch;
    private volatile String holder = "";
    private volatile long termVersion;
    private volatile long changedMs;
    private volatile boolean loaded;
    private final PublishedCounts counts = new PublishedCounts();
    private final PublishedBacklog backlog = new PublishedBacklog();

    /** Creates a watch that is not started yet. */
    public LeaderWatch(StateStore store, Clock clock) {
        this.clock = clock;
        watch = new TableWatch(store, Tables.LEADER, WAIT_MS, clock, this);
    }

    /** Starts to follow the leader table. */
    public void start() {
        watch.start();
    }

    @Override
    public void snapshot(Rows rows) {
        recordVersion(rows.version());
        rows.rows().forEach(this::apply);
        changedMs = clock.nowMs();
        loaded = true;
    }

    @Override
    public void changes(Rows rows) {
        recordVersion(rows.version());
        rows.rows().forEach(this::apply);
        // The heartbeat in a snapshot, or in the first changes after a failure, may have been written long ago.
        if (watch.healthyFor(0)) {
            rows.rows().stream().filter(r -> r.key().equals(Tables.BEAT)).forEach(this::takeCounts);
            rows.rows().stream().filter(r -> r.key().equals(Tables.BACKLOG)).forEach(this::takeBacklog);
        }
    }

    private void takeCounts(StoredRow row) {
        RowCodec.fromRow(row, LeaderRows.Heartbeat.class)
                .flatMap(LeaderRows.Heartbeat::counts)
                .ifPresent(c -> counts.publish(c, clock.nowMs()));
    }

    private void takeBacklog(StoredRow row) {
        RowCodec.fromRow(row, BacklogSnapshot.class)
                .filter(b -> !backlog.publish(b, clock.nowMs()))
                .ifPresent(b -> EVENTS.warn(
                        "backlog-rejected", "version", row.version(), "code", ResultCode.OUT_OF_RANGE.number()));
    }

    private void recordVersion(long version) {
        firstSeenMsByVersion.putIfAbsent(version, clock.nowMs());
        while (firstSeenMsByVersion.size() > MAX_RECORDED_VERSIONS) {
            firstSeenMsByVersion.pollFirstEntry();
        }
    }

    /**
     * Returns a time by which a row of any table had been written: that of the first response with the row's
     * version or a newer one, since all tables share one version counter. Returns the current time if there was no
     * such response.
     */
    long writtenBeforeMs(long version) {
        Map.Entry<Long, Long> first = firstSeenMsByVersion.ceilingEntry(version);
        return first == null ? clock.nowMs() : first.getValue();
    }

    /** Tells whether the store has responded without a break for a time, in milliseconds. */
    boolean healthyFor(long forMs) {
        return watch.healthyFor(forMs);
    }

    private void apply(StoredRow row) {
        changedMs = clock.nowMs();
        if (row.key().equals(Tables.TERM)) {
            termVersion = Math.max(termVersion, row.version());
            holder = RowCodec.fromRow(row, LeaderRows.Term.class)
                    .map(LeaderRows.Term::holder)
                    .orElse("");
        }
    }

    /** Returns how many accepted jobs of a queue have not started; empty if the leader has not published it lately. */
    public OptionalInt waitingJobs(String queue) {
        return counts.waiting(queue, clock.nowMs());
    }

    /** Returns the backlog that the leader publishes. */
    public PublishedBacklog backlog() {
        return backlog;
    }

    /** Tells whether the leader table has been read and the store responds. */
    public boolean healthy() {
        return loaded && watch.healthyFor(0);
    }

    /**
     * Tells whether there seems to be no leader: it stepped down, was an earlier process of this entry, or sent no
     * heartbeat for a time while the store responded.
     */
    boolean seemsLeaderless(String self, long timeoutMs) {
        boolean heartbeatOverdue = clock.nowMs() - changedMs > timeoutMs;
        return loaded && (holder.isEmpty() || holder.equals(self) || heartbeatOverdue && watch.healthyFor(timeoutMs));
    }

    long termVersion() {
        return termVersion;
    }

    @Override
    public void close() {
        watch.close();
    }
}
