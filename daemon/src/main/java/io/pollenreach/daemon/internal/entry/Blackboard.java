package io.pollenreach.daemon.internal.entry;

import io.pollenreach.Clock;
import io.pollenreach.internal.claims.RequestTable;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.membership.ListeningTime;
import io.pollenreach.internal.membership.TargetTable;

/**
 * The blackboard of an entry: the tables that its controllers read and write.
 *
 * <p>Every table is safe for use by many threads and has its own lock. Lock order: a thread holds the lock of at most
 * one table at a time, and calls no controller, peer or service while it holds one.
 */
final class Blackboard {
    private final ConfigTable config = new ConfigTable();
    private final JobTable jobs = new JobTable();
    private final PartTable parts = new PartTable();
    private final TargetTable targets = new TargetTable();
    private final AgentVersions agentVersions = new AgentVersions();
    private final EntryView entries;
    private final RequestTable requests;
    private final ListeningTime listening;
    private final long startedMs;

    Blackboard(EntryView entries, Clock clock) {
        this.entries = entries;
        this.requests = new RequestTable(clock);
        this.startedMs = clock.nowMs();
        this.listening = new ListeningTime(startedMs);
    }

    ConfigTable config() {
        return config;
    }

    JobTable jobs() {
        return jobs;
    }

    PartTable parts() {
        return parts;
    }

    TargetTable targets() {
        return targets;
    }

    AgentVersions agentVersions() {
        return agentVersions;
    }

    EntryView entries() {
        return entries;
    }

    RequestTable requests() {
        return requests;
    }

    /** Returns the lowest configuration version among the usable agents whose home entry is this one. */
    long lowestAgentVersion(long nowMs) {
        String self = entries.selfAddress();
        return agentVersions.lowestAgent(
                id -> targets.usable(id, nowMs) && entries.homeOf(id, nowMs).equals(self));
    }

    /** Notes that this process runs now, and returns since when it has been able to hear others without a pause. */
    long listeningSinceMs(long nowMs) {
        return listening.sinceMs(nowMs);
    }

    /**
     * Returns for how many milliseconds this process has been able to hear others since the given time, counted from
     * the end of its last pause if that was later.
     */
    long listenedMs(long sinceMs, long nowMs) {
        return nowMs - Math.max(sinceMs, listeningSinceMs(nowMs));
    }

    /** Returns the monotonic time at which this process started. */
    long startedMs() {
        return startedMs;
    }
}
