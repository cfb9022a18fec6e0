package io.pollenreach.daemon.internal.work;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledThreadPoolExecutor;
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
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkOrders;

/**
 * The agent of one worker.
 *
 * <p>Invariants: the worker's lease never reaches further than {@code leaseMs} past a reading of the worker's clock that
 * was taken before a report which the store confirmed; ends are acknowledged to the worker only after they stand in a
 * confirmed report; the fencing token is the store's version of the claim under which this process speaks, so that orders
 * of earlier processes and lives are void. All state belongs to one thread. Safe for use by many threads.
 */
public final class WorkAgent implements AutoCloseable {
    /** How long the worker waits for an end before it answers a look, in milliseconds; half a report's period. */
    private static final long LOOK_WAIT_MS = 350;

    /** The same while a report is overdue, in milliseconds, so that the lease is extended as soon as it may be. */
    private static final long SHORT_LOOK_WAIT_MS = 80;

    /** The shortest lease with which an order to start is worth sending, in milliseconds. */
    private static final long MIN_LEASE_MS = 500;

    /** Pause between looks while ends wait to be stored, in milliseconds; a report takes some ten. */
    private static final long UNSTORED_LOOK_MS = 25;

    /**
     * How long one call waits for orders, in milliseconds. A channel may fall silent without a sign, so this and the call's
     * timeout bound how late a stop is seen.
     */
    public static final long ORDERS_WAIT_MS = 1_200;

    private static final long TICK_MS = 100;
    private static final long RETRY_MS = 150;
    private static final Events EVENTS = Events.of(WorkAgent.class);

    private final String name;
    private final StateStore store;
    private final Claims claims;
    private final TaskRunner runner;
    private final Clock clock;
    private final Reporter reporter;
    private final ScheduledThreadPoolExecutor thread;
    private RunnerFacts facts;
    private Life life;
    private boolean claiming;
    private volatile boolean closed;

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
        claims = new Claims(name, store);
        this.runner = runner;
        this.clock = clock;
        thread = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "work-agent");
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
        reporter = new Reporter(name, claims, clock, leaseMs, r -> thread.execute(() -> guarded(r)), new Host());
    }

    /** Starts, and goes on with the worker that an earlier process of this agent looked after. */
    public void start() {
        thread.execute(this::resume);
        thread.scheduleWithFixedDelay(() -> guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        claims.stored().whenCompleteAsync(this::resumeWith, thread);
    }

    private void resumeWith(Optional<StoredRow> row, Throwable t) {
        if (facts != null || closed) {
            return;
        }
        if (t != null) {
            later(this::resume);
            return;
        }
        Claims.report(row).filter(r -> !r.instance().isEmpty()).ifPresent(r -> {
            facts = RunnerFacts.of(r);
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
        EVENTS.info("worker-announced", "worker", heard);
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
        claims.claim(worker)
                .whenCompleteAsync(
                        (claimed, t) -> guarded(() -> {
                            claiming = false;
                            if (t != null) {
                                PollenreachException e = PollenreachException.of(t);
                                warn("claim-failed", "instance", worker.instance(), e);
                                later(this::claim);
                            } else if (!worker.sameProcess(facts)) {
                                claim();
                            } else {
                                begin(claimed);
                            }
                        }),
                        thread);
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
        reporter.reportWhenDue(l);
    }

    private void look(Life l) {
        if (l != life || l.looking || closed) {
            return;
        }
        if (l.vacant()) {
            reporter.reportWhenDue(l);
            return;
        }
        l.looking = true;
        long sentMs = clock.nowMs();
        long usualMs = reporter.isOverdue(l) ? SHORT_LOOK_WAIT_MS : LOOK_WAIT_MS;
        long waitMs = l.settled ? usualMs : 0;
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
            EVENTS.info("worker-reborn", "life", l.id, "born", view.bornMs().get());
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
        reporter.reportWhenDue(l);
        act(l);
        if (l.runs.newestEnd() > l.endsStored) {
            // The worker answers at once while it has ends to list, until the store has them.
            thread.schedule(() -> guarded(() -> look(l)), UNSTORED_LOOK_MS, TimeUnit.MILLISECONDS);
        } else {
            look(l);
        }
    }

    private void lookFailed(Life l, PollenreachException e) {
        warn("look-failed", "instance", l.worker.instance(), e);
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
                l.runs.abandon(order.run());
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
            warn("start-unanswered", "run", run, e);
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
                l.runs.abandon(run);
                l.reportSoon = true;
            }
        }
        reporter.reportWhenDue(l);
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
        warn("stop-unanswered", "run", run, e);
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
        reporter.reportWhenDue(l);
    }

    private void reportNow() {
        if (life != null) {
            life.reportSoon = true;
            reporter.reportWhenDue(life);
        }
    }

    private static void warn(String event, String key, Object value, PollenreachException e) {
        EVENTS.warn(event, key, value, "code", e.code().number(), "error", e.getMessage());
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

    /** What the reporter needs of this agent. */
    private final class Host implements Reporter.Host {
        @Override
        public boolean isCurrent(Life l) {
            return l == life && !closed;
        }

        @Override
        public RunnerFacts newestFacts() {
            return facts;
        }

        @Override
        public void stored(Life l) {
            act(l);
        }

        @Override
        public void claimLost() {
            claim();
        }

        @Override
        public void later(Runnable work) {
            WorkAgent.this.later(work);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.shutdownNow();
        drop();
    }
}
