package io.pollenreach.daemon.internal.store;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** The tables of the store that the scheduler, the entries and the agents share. Stateless. */
public final class Tables {
    /** A row a job, written once when it is accepted. */
    public static final String JOBS = "jobs";

    /** A row a job that the leader has taken up; only it writes them. */
    public static final String PROGRESS = "progress";

    /** A row a cancelled job, written by entries. */
    public static final String CANCELS = "cancels";

    /** A row an id that was cancelled without having a job, written by entries; the leader removes old ones. */
    public static final String WITHDRAWN = "withdrawn";

    /** A row a worker, written by its agent. */
    public static final String WORKERS = "workers";

    /** What the leader has learned from runs, in a few rows; only it writes them. */
    public static final String LEARNED = "learned";

    /** Who schedules: the rows {@link #TERM}, {@link #BEAT} and {@link #BACKLOG}. */
    public static final String LEADER = "leader";

    /** The row whose version every write of the leader depends on; it changes with the leader only. */
    public static final String TERM = "term";

    /** The row by which the leader shows that it works, and publishes its counts. */
    public static final String BEAT = "beat";

    /** The row by which the leader publishes the work that waits, for the entries to decide on admission. */
    public static final String BACKLOG = "backlog";

    /** Tables of orders: an agent follows one, so that most changes wake only the agents that they concern. */
    public static final int ORDER_TABLES = 16;

    /**
     * Partitions of the tables that many processes write. The store applies the transactions of one partition one after
     * the other, so a slow store would otherwise serve a handful of reports a second.
     */
    private static final int PARTITIONS = 8;

    private static final String ONLY = "";

    // The rows of one id share a partition, since they are written under conditions on each other.
    private static final Set<String> SPREAD = Set.of(JOBS, CANCELS, WITHDRAWN, WORKERS);

    private Tables() {}

    /** Returns the partition of a row; the scheduler's own tables share one, since it writes them together. */
    public static String partitionOf(String table, String key) {
        return isSpread(table) ? partition(Math.floorMod(key.hashCode(), PARTITIONS)) : ONLY;
    }

    /** Returns all partitions that a table may have rows in. */
    public static List<String> partitionsOf(String table) {
        return isSpread(table)
                ? IntStream.range(0, PARTITIONS).mapToObj(Tables::partition).toList()
                : List.of(ONLY);
    }

    private static boolean isSpread(String table) {
        return SPREAD.contains(table);
    }

    private static String partition(int number) {
        return "p" + number;
    }

    /** Returns the table that holds an agent's orders. */
    public static String ordersOf(String agent) {
        return orders(Math.floorMod(agent.hashCode(), ORDER_TABLES));
    }

    /** Returns the table of orders with a number from 0. */
    public static String orders(int number) {
        return "orders-" + number;
    }
}
