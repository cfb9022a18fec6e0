package io.pollenreach.daemon.internal.store;

/** The tables of the store that the scheduler, the entries and the agents share. Stateless. */
public final class Tables {
    /** A row a job, written once when it is accepted. */
    public static final String JOBS = "jobs";

    /** A row a job that the scheduler in office has taken up; only it writes them. */
    public static final String PROGRESS = "progress";

    /** A row a cancelled job, written by entries. */
    public static final String CANCELS = "cancels";

    /** A row a worker, written by its agent. */
    public static final String WORKERS = "workers";

    /** Who schedules: the rows {@link #TERM} and {@link #BEAT}. */
    public static final String OFFICE = "office";

    /** The row whose version every write of the scheduler in office depends on; it changes with the holder only. */
    public static final String TERM = "term";

    /** The row by which the scheduler in office shows that it works, and publishes its counts. */
    public static final String BEAT = "beat";

    /** Tables of orders: an agent follows one, so that most changes wake only the agents that they concern. */
    public static final int ORDER_TABLES = 16;

    private Tables() {}

    /** Returns the table that holds an agent's orders. */
    public static String ordersOf(String agent) {
        return orders(Math.floorMod(agent.hashCode(), ORDER_TABLES));
    }

    /** Returns the table of orders with a number from 0. */
    public static String orders(int number) {
        return "orders-" + number;
    }
}
