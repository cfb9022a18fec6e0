package io.pollenreach.internal.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * The scheduler's view of one worker: its newest report and its orders.
 *
 * <p>Invariant: every run that may occupy the worker is among its runs or its stops, and {@link #free()} is its
 * capacity less what these occupy. Not thread-safe: confined to the scheduler's thread.
 */
final class WorkerAllocations {
    /**
     * Runs that one worker may hold, those that are being stopped included. The rows of its orders and of its report grow
     * with them and have to fit into what the store takes.
     */
    static final int MAX_RUNS = 400;

    /**
     * Runs that were handed to a worker and that it has not shown at work, but for gangs. The orders to start them are sent a
     * few at a time, so more would only wait there.
     */
    static final int MAX_STARTING = 64;

    /** Bytes of payload that the orders of one worker carry; the payload of further runs is read from their job's row. */
    private static final int MAX_INLINE_PAYLOAD_BYTES = 16_000;

    /** Characters of tickets and checkpoints, which hardly shrink, that the orders of one worker may carry. */
    private static final int MAX_TOKEN_CHARS = 16_000;

    private static final long UNCOMMITTED = Long.MAX_VALUE;

    /** A run that the worker was ordered to stop. */
    private static final class Stop {
        private final Resources held;
        private final long sinceMs;
        private final boolean restored;
        private long firstOrdersVersion;

        /** Creates a stop that is ordered now. */
        Stop(Resources held, long nowMs) {
            this(held, nowMs, UNCOMMITTED, false);
        }

        private Stop(Resources held, long sinceMs, long firstOrdersVersion, boolean restored) {
            this.held = held;
            this.sinceMs = sinceMs;
            this.firstOrdersVersion = firstOrdersVersion;
            this.restored = restored;
        }

        /** Returns a stop that an earlier scheduler ordered under a version. */
        static Stop restored(Resources held, long nowMs, long version) {
            return new Stop(held, nowMs, version, true);
        }
    }

    /** A run that the worker is ordered to start and keep running. Immutable. */
    private record Allocation(WorkerOrders.OrderedRun order, Resources held) {
        int tokenChars() {
            return order.ticket().length() + order.checkpoint().length();
        }
    }

    private final String name;
    private final Map<TaskRun, Allocation> runs = new LinkedHashMap<>();
    private final Map<TaskRun, Stop> stops = new LinkedHashMap<>();
    /** The runs whose order is not known to be stored. */
    private final Set<TaskRun> uncommittedRuns = new HashSet<>();
    /** The runs that the worker has not shown at work. */
    private final Set<TaskRun> starting = new HashSet<>();
    /** The characters of tickets and checkpoints of all runs. */
    private int tokenChars;

    private WorkerReport report;
    private long reportVersion;
    private long reportedMs;
    private long lastEndNumber;
    private String ordersIncarnation;
    private boolean reportReadable = true;
    /** Whether the runs and stops are those of the stored orders; otherwise they follow from the progress of jobs. */
    private boolean ordersKnown = true;

    private final WorkerHealth health = new WorkerHealth();

    WorkerAllocations(WorkerReport report, long reportVersion, long nowMs) {
        name = report.agent();
        this.report = report;
        this.reportVersion = reportVersion;
        reportedMs = nowMs;
        ordersIncarnation = report.incarnation();
    }

    String name() {
        return name;
    }

    WorkerReport report() {
        return report;
    }

    long reportVersion() {
        return reportVersion;
    }

    long reportedMs() {
        return reportedMs;
    }

    long lastEndNumber() {
        return lastEndNumber;
    }

    WorkerHealth health() {
        return health;
    }

    /** Tells whether the newest report could be read. */
    boolean reportReadable() {
        return reportReadable;
    }

    /** Tells whether the orders are known; otherwise none may be stored, since these would void those that are. */
    boolean ordersKnown() {
        return ordersKnown;
    }

    /** Tells whether the newest report could be read and the orders are known; otherwise the worker takes no tasks. */
    boolean isReadable() {
        return reportReadable && ordersKnown;
    }

    boolean sameIncarnation(WorkerReport other) {
        return ordersIncarnation.equals(other.incarnation());
    }

    /** Tells whether a report shows a worker on which other placements are possible than before. */
    boolean placementDiffers(WorkerReport next, long nowMs) {
        boolean silent = !isReadable() || nowMs - reportedMs > PlacementPass.MAX_REPORT_AGE_MS;
        return silent
                || next.lost() != report.lost()
                || next.takesTasks() != report.takesTasks()
                || !next.capacity().equals(report.capacity())
                || !next.incarnation().equals(report.incarnation());
    }

    void update(WorkerReport next, long version, long nowMs) {
        report = next;
        reportVersion = version;
        reportedMs = nowMs;
        reportReadable = true;
        noteConfirmed();
    }

    private void noteConfirmed() {
        report.active().stream().filter(RunningTask::isConfirmed).forEach(a -> starting.remove(a.run()));
    }

    /** Records that a report was written that cannot be read; the worker may have a new lease by it. */
    void noteUnreadableReport(long version, long nowMs) {
        reportVersion = version;
        reportedMs = nowMs;
        reportReadable = false;
    }

    /** Records that the stored orders are not known. */
    void forgetOrders() {
        ordersKnown = false;
    }

    /** Records that the runs and stops are from now on the orders, for the incarnation that was reported last. */
    void adoptOrders() {
        if (!sameIncarnation(report)) {
            lastEndNumber = 0;
        }
        ordersIncarnation = report.incarnation();
        ordersKnown = true;
        uncommittedRuns.clear();
    }

    /**
     * Restores the orders that an earlier scheduler stored; {@code needs} returns the resources that a run occupies.
     */
    void restore(WorkerOrders orders, long version, Function<TaskId, Resources> needs, long nowMs) {
        ordersIncarnation = orders.incarnation();
        lastEndNumber = orders.endsTaken();
        orders.runs().forEach(r -> order(r, needs.apply(r.run().task())));
        uncommittedRuns.clear();
        orders.stops().forEach(r -> stops.put(r, Stop.restored(needs.apply(r.task()), nowMs, version)));
        noteConfirmed();
    }

    /** Clears the orders for a new incarnation of the worker. */
    void startIncarnation() {
        runs.clear();
        uncommittedRuns.clear();
        starting.clear();
        tokenChars = 0;
        stops.clear();
        lastEndNumber = 0;
        ordersIncarnation = report.incarnation();
        ordersKnown = true;
        health.reset();
    }

    WorkerOrders toOrders() {
        List<WorkerOrders.OrderedRun> orders = new ArrayList<>();
        int bytes = 0;
        for (Allocation a : runs.values()) {
            bytes += a.order().payload().getBytes(StandardCharsets.UTF_8).length;
            orders.add(bytes <= MAX_INLINE_PAYLOAD_BYTES ? a.order() : a.order().withoutPayload());
        }
        return new WorkerOrders(ordersIncarnation, orders, new ArrayList<>(stops.keySet()), lastEndNumber);
    }

    /** Returns how many more runs the worker may hold. */
    int freeRuns() {
        return tokenChars > MAX_TOKEN_CHARS ? 0 : Math.max(0, MAX_RUNS - runs.size() - stops.size());
    }

    /** Returns how many more runs the worker may be handed now. */
    int freeStarts() {
        return Math.max(0, Math.min(freeRuns(), MAX_STARTING - starting.size()));
    }

    Resources free() {
        return report.capacity().minus(held());
    }

    /** Returns the resources of all runs that may occupy the worker. */
    Resources held() {
        return runs.values().stream().map(Allocation::held).reduce(heldByStops(), Resources::plus);
    }

    /** Returns the resources that stops not older than the given age are expected to free soon. */
    Resources heldByRecentStops(long nowMs, long maxAgeMs) {
        Resources sum = Resources.NONE;
        for (Stop s : stops.values()) {
            if (nowMs - s.sinceMs <= maxAgeMs) {
                sum = sum.plus(s.held);
            }
        }
        return sum;
    }

    /** Returns the resources of each run that the worker is ordered to keep running. */
    Map<TaskRun, Resources> heldByRuns() {
        Map<TaskRun, Resources> held = new LinkedHashMap<>();
        runs.forEach((run, h) -> held.put(run, h.held()));
        return held;
    }

    /** Returns the resources of all runs that are being stopped. */
    Resources heldByStops() {
        return stops.values().stream().map(s -> s.held).reduce(Resources.NONE, Resources::plus);
    }

    List<TaskRun> runs() {
        return new ArrayList<>(runs.keySet());
    }

    /** Returns the runs whose order is not known to be stored. */
    List<TaskRun> uncommittedRuns() {
        return runs.keySet().stream().filter(uncommittedRuns::contains).toList();
    }

    /** Returns the tasks of all runs that may occupy the worker, stops included. */
    Stream<TaskId> heldTasks() {
        return Stream.concat(runs.keySet().stream(), stops.keySet().stream()).map(TaskRun::task);
    }

    int countOfStep(TaskId of) {
        return (int) heldTasks()
                .filter(t -> t.job().equals(of.job()) && t.occurrence() == of.occurrence() && t.step() == of.step())
                .count();
    }

    void order(WorkerOrders.OrderedRun order, Resources held) {
        Allocation allocation = new Allocation(order, held);
        runs.put(order.run(), allocation);
        uncommittedRuns.add(order.run());
        starting.add(order.run());
        tokenChars += allocation.tokenChars();
    }

    /** Removes a run from those that the worker is ordered to keep running. */
    private Optional<Allocation> removeOrder(TaskRun run) {
        Optional<Allocation> removed = Optional.ofNullable(runs.remove(run));
        removed.ifPresent(a -> tokenChars -= a.tokenChars());
        uncommittedRuns.remove(run);
        starting.remove(run);
        return removed;
    }

    /** Orders a run to be stopped; tells whether anything changed. */
    boolean stop(TaskRun run, long nowMs) {
        Optional<Allocation> removed = removeOrder(run);
        removed.ifPresent(a -> stops.put(run, new Stop(a.held(), nowMs)));
        return removed.isPresent();
    }

    /** Orders an unknown run to be stopped, one that is active without an order; tells whether anything changed. */
    boolean stopUnknown(TaskRun run, Resources held, long nowMs) {
        if (runs.containsKey(run) || stops.containsKey(run)) {
            return false;
        }
        stops.put(run, new Stop(held, nowMs));
        return true;
    }

    /** Returns how long ago a run was ordered to stop, in milliseconds; empty if it was not, or by an earlier scheduler. */
    OptionalLong stopAgeMs(TaskRun run, long nowMs) {
        Stop stop = stops.get(run);
        return stop == null || stop.restored ? OptionalLong.empty() : OptionalLong.of(nowMs - stop.sinceMs);
    }

    /** Removes a run that the worker has reported as ended; tells whether anything changed. */
    boolean remove(TaskRun run) {
        boolean ordered = removeOrder(run).isPresent();
        return stops.remove(run) != null || ordered;
    }

    /** Removes stops that the newest report shows as carried out; tells whether anything changed. */
    boolean removeFinishedStops() {
        List<TaskRun> active = report.active().stream().map(RunningTask::run).toList();
        return stops.entrySet()
                .removeIf(s -> report.ordersSeen() >= s.getValue().firstOrdersVersion && !active.contains(s.getKey()));
    }

    boolean recordEnd(long number) {
        if (number <= lastEndNumber) {
            return false;
        }
        lastEndNumber = number;
        return true;
    }

    /** Records the version under which the current orders were stored. */
    void committed(long version) {
        uncommittedRuns.clear();
        stops.values().stream()
                .filter(s -> s.firstOrdersVersion == UNCOMMITTED)
                .forEach(s -> s.firstOrdersVersion = version);
    }
}
