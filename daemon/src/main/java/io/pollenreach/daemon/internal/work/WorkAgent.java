package io.pollenreach.daemon.internal.work;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.RunEnd;
import io.pollenreach.internal.batch.RunningTask;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkOrders;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * The agent of one worker.
 *
 * <p>Invariants: the worker's lease never reaches further than {@code leaseMs} past a reading of the worker's clock that
 * was taken before a report which the store confirmed; ends are acknowledged to the worker only after they stand in a
 * confirmed report; the fencing token is the store's version of the claim under which this process speaks, so that orders
 * of earlier processes and lives are void. All state belongs to one thread. Safe for use by many threads.
 */
public final class WorkAgent implements AutoCloseable {
    /** Longest pause between reports, in milliseconds: a worker must outlast a store that is away for five seconds. */
    static final long REPORT_MS = 1_000;

    /** How long the worker waits for an end before it answers a look, in milliseconds; half a report's period. */
    private static final long LOOK_WAIT_MS = 500;

    /** A look that gave no answer this long ago says nothing of the worker any more, in milliseconds. */
    private static final long STALE_LOOK_MS = 1_500;

    /** The shortest lease with which an order to start is worth sending, in milliseconds. */
    private static final long MIN_LEASE_MS = 500;

    /** Pause between looks while ends wait to be stored, in milliseconds; a report takes some ten. */
    private static final long UNSTORED_LOOK_MS = 25;

    private static final long TICK_MS = 100;
    private static final long RETRY_MS = 150;
    private static final long ORDERS_WAIT_MS = 10_000;
    private static final Events EVENTS = Events.of(WorkAgent.class);

    private final String name;
    private final StateStore store;
    private final TaskRunner runner;
    private final Clock clock;
    private final long leaseMs;
    private final ScheduledThreadPoolExecutor thread;
    private RunnerFacts facts;
    private Life life;
    private boolean claiming;
    private volatile boolean closed;

    /** One registration of one worker process; what belongs to an older one is dropped. */
    private static final class Life {
        private final RunnerFacts worker;
        private final String id;
        private final long token;
        private final LocalRuns runs = new LocalRuns();
        private long rowVersion;
        private long sequence;
        private long ordersSeen;
        private TableWatch watch;
        private boolean settled;
        private boolean reporting;
        private boolean reportSoon = true;
        private long reportedMs;
        private long reportNotBeforeMs;
        private long lookedMs;
        private long runnerClockMs;
        private long leaseUntilMs;
        private long endsStored;
        private boolean looking;
        private List<RunEnd> formerEnds = List.of();

        Life(RunnerFacts worker, String id, long token) {
            this.worker = worker;
            this.id = id;
            this.token = token;
            rowVersion = token;
        }

        TaskRunner.Authority authority() {
            return new TaskRunner.Authority(worker.instance(), token);
        }
    }

    /**
     * Creates an agent that does nothing yet.
     *
     * @param name the agent's name; unique, and the same after a restart
     * @param store the store
     * @param runner the worker's interface
     * @param clock tells the time
     * @param leaseMs the longest lease of a worker, in milliseconds
     */
    public WorkAgent(String name, StateStore store, TaskRunner runner, Clock clock, long leaseMs) {
        this.name = name;
        this.store = store;
        this.runner = runner;
        this.clock = clock;
        this.leaseMs = leaseMs;
        thread = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "work-agent");
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
    }

    /** Starts, and goes on with the worker that an earlier process of this agent looked after. */
    public void start() {
        thread.execute(this::resume);
        thread.scheduleWithFixedDelay(() -> guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        store.get(Tables.WORKERS, name).whenCompleteAsync(this::resumeWith, thread);
    }

    private void resumeWith(Optional<StoredRow> row, Throwable t) {
        if (facts != null || closed) {
            return;
        }
        if (t != null) {
            later(this::resume);
            return;
        }
        row.flatMap(r -> RowCodec.fromRow(r, WorkerReport.class))
                .filter(r -> !r.instance().isEmpty())
                .ifPresent(r -> {
                    facts = new RunnerFacts(
                            r.instance(),
                            r.bornMs(),
                            0,
                            r.pool(),
                            r.zone(),
                            !r.takesTasks(),
                            r.capacity(),
                            r.labels(),
                            r.rack());
                    claim();
                });
    }

    /** Takes a worker's announcement of itself. */
    public void heard(RunnerFacts heard) {
        thread.execute(() -> guarded(() -> hear(heard)));
    }

    private void hear(RunnerFacts heard) {
        if (facts != null && facts.sameProcess(heard)) {
            if (heard.sequence() < facts.sequence()) {
                return;
            }
            boolean changed =
                    heard.draining() != facts.draining() || !heard.capacity().equals(facts.capacity());
            facts = heard;
            if (changed) {
                EVENTS.info("worker-changed", "instance", heard.instance(), "draining", heard.draining());
                reportNow();
            }
            return;
        }
        if (facts != null && heard.bornMs() < facts.bornMs()) {
            EVENTS.info(
                    "old-announcement", "instance", heard.instance(), "born", heard.bornMs(), "known", facts.bornMs());
            return;
        }
        EVENTS.info(
                "worker-announced",
                "instance",
                heard.instance(),
                "born",
                heard.bornMs(),
                "pool",
                heard.pool(),
                "rack",
                heard.rack());
        facts = heard;
        claim();
    }

    /** Takes the news that a worker process has ended as planned. */
    public void left(String instance) {
        thread.execute(() -> guarded(() -> {
            if (facts != null && facts.instance().equals(instance)) {
                EVENTS.info("worker-left", "instance", instance);
                facts = new RunnerFacts(
                        "", facts.bornMs(), 0, facts.pool(), facts.zone(), true, Resources.NONE, List.of(), "");
                claim();
            }
        }));
    }

    private void claim() {
        if (claiming || closed) {
            return;
        }
        claiming = true;
        drop();
        RunnerFacts worker = facts;
        store.get(Tables.WORKERS, name)
                .thenCompose(row -> claim(worker, row))
                .whenCompleteAsync(
                        (claimed, t) -> guarded(() -> {
                            claiming = false;
                            if (t != null) {
                                PollenreachException e = PollenreachException.of(t);
                                EVENTS.warn("claim-failed", "code", e.code().number(), "error", e.getMessage());
                                later(this::claim);
                            } else if (!worker.sameProcess(facts)) {
                                claim();
                            } else {
                                begin(claimed);
                            }
                        }),
                        thread);
    }

    private CompletableFuture<Life> claim(RunnerFacts worker, Optional<StoredRow> row) {
        long before = row.map(StoredRow::version).orElse(0L);
        Optional<WorkerReport> same = row.flatMap(r -> RowCodec.fromRow(r, WorkerReport.class))
                .filter(r -> !r.lost() && r.instance().equals(worker.instance()) && r.bornMs() == worker.bornMs());
        String id = same.map(WorkerReport::life).orElse(worker.instance() + "@" + worker.bornMs() + "/" + before);
        List<RunEnd> former = row.flatMap(r -> RowCodec.fromRow(r, WorkerReport.class))
                .map(r -> formerEnds(r, same.isPresent()))
                .orElse(List.of());
        WorkerReport report = report(
                worker,
                id,
                false,
                former,
                same.map(WorkerReport::sequence).orElse(0L) + 1,
                same.map(WorkerReport::ordersSeen).orElse(0L),
                same.map(WorkerReport::active).orElse(List.of()),
                same.map(WorkerReport::ends).orElse(List.of()));
        Transaction tx = new Transaction()
                .expect(Tables.WORKERS, name, before)
                .write(Tables.WORKERS, name, RowCodec.toValue(report));
        return store.commit(tx).thenApply(version -> {
            Life claimed = new Life(worker, id, version);
            claimed.sequence = report.sequence();
            claimed.runs.restoreEnds(report.ends());
            claimed.formerEnds = former;
            EVENTS.info("worker-claimed", "life", id, "token", version, "continued", same.isPresent());
            return claimed;
        });
    }

    // They were acknowledged to the worker, so this row is the only place that has them.
    private static List<RunEnd> formerEnds(WorkerReport before, boolean sameLife) {
        List<RunEnd> all = new ArrayList<>(before.formerEnds());
        if (!sameLife) {
            before.ends().stream().filter(e -> e.number() > 0).forEach(all::add);
        }
        return all;
    }

    private WorkerReport report(
            RunnerFacts worker,
            String id,
            boolean takesTasks,
            List<RunEnd> formerEnds,
            long sequence,
            long ordersSeen,
            List<RunningTask> active,
            List<RunEnd> ends) {
        return new WorkerReport(
                name,
                id,
                worker.instance(),
                worker.bornMs(),
                worker.pool(),
                worker.capacity(),
                worker.labels(),
                worker.rack(),
                worker.zone(),
                takesTasks,
                sequence,
                ordersSeen,
                active,
                ends,
                formerEnds,
                false);
    }

    private void drop() {
        if (life != null && life.watch != null) {
            life.watch.close();
        }
        life = null;
    }

    private void begin(Life claimed) {
        life = claimed;
        TableWatch.Listener listener = new TableWatch.Listener() {
            @Override
            public void snapshot(Rows rows) {
                thread.execute(() -> guarded(() -> takeOrders(claimed, rows, true)));
            }

            @Override
            public void changes(Rows rows) {
                if (!rows.rows().isEmpty()) {
                    thread.execute(() -> guarded(() -> takeOrders(claimed, rows, false)));
                }
            }
        };
        claimed.watch = new TableWatch(store, Tables.ordersOf(name), ORDERS_WAIT_MS, clock, listener);
        claimed.watch.start();
    }

    private void takeOrders(Life l, Rows rows, boolean whole) {
        if (l != life) {
            return;
        }
        Optional<StoredRow> row =
                rows.rows().stream().filter(r -> r.key().equals(name)).reduce((a, b) -> b);
        if (row.isEmpty() && !whole || row.map(r -> r.version() <= l.ordersSeen).orElse(false)) {
            return;
        }
        WorkOrders written =
                row.flatMap(r -> RowCodec.fromRow(r, WorkOrders.class)).orElse(WorkOrders.none(""));
        if (written.life().equals(l.id)) {
            // The scheduler knows this life, so it has taken what earlier lives left.
            l.formerEnds = List.of();
        }
        WorkOrders orders = written.life().equals(l.id) ? written : WorkOrders.none(l.id);
        boolean first = l.ordersSeen == 0;
        l.ordersSeen = row.map(StoredRow::version).orElse(1L);
        boolean changed = l.runs.take(orders);
        if (first) {
            look(l);
        }
        if (!orders.stops().isEmpty()) {
            l.reportSoon = true;
        }
        if (changed) {
            act(l);
        }
        reportWhenDue(l);
    }

    private void look(Life l) {
        if (l != life || l.looking || closed || l.worker.instance().isEmpty()) {
            if (l == life && l.worker.instance().isEmpty()) {
                l.reportSoon = true;
                reportWhenDue(l);
            }
            return;
        }
        l.looking = true;
        long sentMs = clock.nowMs();
        long waitMs = l.settled ? LOOK_WAIT_MS : 0;
        OptionalLong until = l.leaseUntilMs > 0 ? OptionalLong.of(l.leaseUntilMs) : OptionalLong.empty();
        runner.look(l.authority(), l.endsStored, until, waitMs)
                .whenCompleteAsync((v, t) -> guarded(() -> looked(l, v, t, sentMs)), thread);
    }

    private void looked(Life l, TaskRunner.RunnerView view, Throwable t, long sentMs) {
        l.looking = false;
        if (l != life) {
            return;
        }
        if (t != null) {
            lookFailed(l, PollenreachException.of(t));
            return;
        }
        if (view.bornMs().isPresent() && view.bornMs().get() != l.worker.bornMs()) {
            EVENTS.info(
                    "worker-reborn",
                    "instance",
                    l.worker.instance(),
                    "born",
                    view.bornMs().get());
            later(() -> look(l));
            return;
        }
        l.lookedMs = clock.nowMs();
        l.runnerClockMs = view.clockMs();
        if (l.runs.take(view, sentMs)) {
            l.reportSoon = true;
        }
        boolean clean = view.running().stream()
                .allMatch(r -> l.runs.active().stream().anyMatch(a -> a.run().equals(r.run())));
        if (!l.settled && clean) {
            l.settled = true;
            l.reportSoon = true;
        }
        reportWhenDue(l);
        act(l);
        if (l.runs.newestEnd() > l.endsStored) {
            // The worker answers at once while it has ends to list, until the store has them.
            thread.schedule(() -> guarded(() -> look(l)), UNSTORED_LOOK_MS, TimeUnit.MILLISECONDS);
        } else {
            look(l);
        }
    }

    private void lookFailed(Life l, PollenreachException e) {
        EVENTS.warn(
                "look-failed", "instance", l.worker.instance(), "code", e.code().number(), "error", e.getMessage());
        if (e.code() == ResultCode.STALE_ATTEMPT) {
            claim();
            return;
        }
        later(() -> look(l));
    }

    private void act(Life l) {
        long nowMs = clock.nowMs();
        for (TaskRun run : l.runs.toStop(nowMs)) {
            runner.stop(l.authority(), run).whenCompleteAsync((v, t) -> guarded(() -> stopped(l, run, t)), thread);
        }
        if (l.leaseUntilMs - l.runnerClockMs - (nowMs - l.lookedMs) < MIN_LEASE_MS) {
            return;
        }
        for (WorkOrders.OrderedRun order : l.runs.toStart(nowMs)) {
            if (facts.draining()) {
                l.runs.refuse(order.run());
                l.reportSoon = true;
                continue;
            }
            runner.start(l.authority(), order, l.leaseUntilMs)
                    .whenCompleteAsync((o, t) -> guarded(() -> started(l, order.run(), o, t)), thread);
        }
    }

    private void started(Life l, TaskRun run, TaskRunner.StartOutcome outcome, Throwable t) {
        if (l != life) {
            return;
        }
        if (t != null) {
            PollenreachException e = PollenreachException.of(t);
            EVENTS.warn(
                    "start-unanswered",
                    "task",
                    run.task(),
                    "run",
                    run.run(),
                    "code",
                    e.code().number(),
                    "error",
                    e.getMessage());
            if (e.code() == ResultCode.STALE_ATTEMPT) {
                claim();
                return;
            }
            l.runs.startFailed(run, clock.nowMs() + RETRY_MS);
            return;
        }
        EVENTS.info("start-answered", "task", run.task(), "run", run.run(), "outcome", outcome);
        switch (outcome) {
                // An end that the worker has yet to list tells how a run that is over went.
            case STARTED, OVER -> l.runs.started(run);
            case LEASE_OVER -> {
                l.runs.startFailed(run, clock.nowMs() + RETRY_MS);
                l.reportSoon = true;
            }
            default -> {
                l.runs.refuse(run);
                l.reportSoon = true;
            }
        }
        reportWhenDue(l);
    }

    private void stopped(Life l, TaskRun run, Throwable t) {
        if (l != life) {
            return;
        }
        if (t == null) {
            EVENTS.info("stop-answered", "task", run.task(), "run", run.run());
            l.runs.stopped(run, clock.nowMs());
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.warn(
                "stop-unanswered",
                "task",
                run.task(),
                "run",
                run.run(),
                "code",
                e.code().number(),
                "error",
                e.getMessage());
        if (e.code() == ResultCode.STALE_ATTEMPT) {
            claim();
            return;
        }
        l.runs.stopFailed(run, clock.nowMs() + RETRY_MS);
    }

    private void tick() {
        Life l = life;
        if (l == null) {
            return;
        }
        if (l.runs.waitsToSend()) {
            act(l);
        }
        reportWhenDue(l);
    }

    private void reportNow() {
        if (life != null) {
            life.reportSoon = true;
            reportWhenDue(life);
        }
    }

    private void reportWhenDue(Life l) {
        long nowMs = clock.nowMs();
        boolean left = l.worker.instance().isEmpty();
        boolean heardOfWorker = left || l.lookedMs > 0 && nowMs - l.lookedMs < STALE_LOOK_MS;
        boolean due = l.reportSoon || !left && nowMs - l.reportedMs >= REPORT_MS;
        boolean held = l.reporting || nowMs < l.reportNotBeforeMs;
        if (held || l.ordersSeen == 0 || !due || !heardOfWorker || closed) {
            return;
        }
        l.reporting = true;
        l.reportSoon = false;
        l.reportedMs = nowMs;
        send(
                l,
                new Draft(
                        report(
                                facts.sameProcess(l.worker) ? facts : l.worker,
                                l.id,
                                l.settled && !facts.draining(),
                                l.formerEnds,
                                ++l.sequence,
                                l.ordersSeen,
                                l.runs.active(),
                                l.runs.ends()),
                        l.runnerClockMs,
                        l.runs.newestEnd()));
    }

    /** A report, with what may be done once the store has it. Immutable. */
    private record Draft(WorkerReport report, long runnerClockMs, long newestEnd) {}

    private void send(Life l, Draft draft) {
        Transaction tx = new Transaction()
                .expect(Tables.WORKERS, name, l.rowVersion)
                .write(Tables.WORKERS, name, RowCodec.toValue(draft.report()));
        store.commit(tx).whenCompleteAsync((v, t) -> guarded(() -> sent(l, draft, v, t)), thread);
    }

    private void sent(Life l, Draft draft, Long version, Throwable t) {
        if (l != life) {
            return;
        }
        if (t == null) {
            confirmed(l, draft, version);
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.warn(
                "report-failed",
                "sequence",
                draft.report().sequence(),
                "code",
                e.code().number(),
                "error",
                e.getMessage());
        if (e.code() == ResultCode.PLATFORM_UNAVAILABLE) {
            l.reporting = false;
            l.reportSoon = true;
            // Agents that are refused together must not come back together.
            l.reportNotBeforeMs = clock.nowMs() + ThreadLocalRandom.current().nextLong(RETRY_MS, 3 * RETRY_MS);
            return;
        }
        later(() -> readBack(l, draft));
    }

    private void confirmed(Life l, Draft draft, long version) {
        l.rowVersion = version;
        l.reporting = false;
        l.leaseUntilMs = Math.max(l.leaseUntilMs, draft.runnerClockMs() + leaseMs);
        l.endsStored = Math.max(l.endsStored, draft.newestEnd());
        act(l);
        reportWhenDue(l);
    }

    private void readBack(Life l, Draft draft) {
        if (l != life) {
            return;
        }
        store.get(Tables.WORKERS, name)
                .whenCompleteAsync(
                        (row, t) -> guarded(() -> {
                            if (l != life) {
                                return;
                            }
                            if (t != null) {
                                later(() -> readBack(l, draft));
                                return;
                            }
                            compare(l, draft, row);
                        }),
                        thread);
    }

    private void compare(Life l, Draft draft, Optional<StoredRow> row) {
        long version = row.map(StoredRow::version).orElse(0L);
        if (version == l.rowVersion) {
            // Not written, or not yet: a late write would then meet a newer version and fail.
            l.reporting = false;
            l.reportSoon = true;
            return;
        }
        Optional<WorkerReport> stored = row.flatMap(r -> RowCodec.fromRow(r, WorkerReport.class));
        boolean mine = stored.map(r -> !r.lost()
                        && r.life().equals(l.id)
                        && r.sequence() == draft.report().sequence())
                .orElse(false);
        if (mine) {
            confirmed(l, draft, version);
            return;
        }
        EVENTS.warn(
                "claim-lost",
                "life",
                l.id,
                "lost",
                stored.map(WorkerReport::lost).orElse(false),
                "version",
                version);
        claim();
    }

    private void later(Runnable work) {
        if (!closed) {
            thread.schedule(() -> guarded(work), RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            EVENTS.warn("agent-failed", "error", String.valueOf(e), "at", e.getStackTrace()[0]);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.shutdownNow();
        drop();
    }
}
