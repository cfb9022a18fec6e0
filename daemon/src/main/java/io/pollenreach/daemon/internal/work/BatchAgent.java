package io.pollenreach.daemon.internal.work;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.evacuation.EvacuationGuard;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.process.FatalErrors;
import io.pollenreach.daemon.internal.process.WorkThread;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.AnnouncementFilter;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders;

/**
 * The agent of one worker.
 *
 * <p>Invariants: the worker's lease never reaches further than {@code leaseMs} past a reading of the worker's clock
 * that was taken before a report which the store confirmed; ends are acknowledged to the worker only after they stand
 * in a confirmed report; the fencing token is the store's version of the claim under which this process speaks, so that
 * orders of earlier processes and incarnations are void. All state belongs to one thread. Safe for use by many threads.
 */
public final class BatchAgent implements AutoCloseable {
    /** How long the worker waits for an end before it answers a poll, in milliseconds; half a report's period. */
    private static final long POLL_WAIT_MS = 350;

    /** The same for a worker that runs nothing, in milliseconds; its polls only show that it answers. */
    private static final long IDLE_POLL_WAIT_MS = 1_000;

    /** The same while a report is overdue, in milliseconds, so that the lease is extended as soon as it may be. */
    private static final long SHORT_POLL_WAIT_MS = 80;

    /** Pause between polls while ends wait to be stored, in milliseconds; a report takes some ten. */
    private static final long UNSTORED_POLL_MS = 25;

    /**
     * How long one call waits for orders, in milliseconds. A channel may fall silent without a sign, so this and the
     * call's timeout bound how late a stop is seen.
     */
    public static final long ORDERS_WAIT_MS = 1_200;

    private static final long TICK_MS = 100;
    private static final long RETRY_MS = 150;
    private static final Events EVENTS = Events.of(BatchAgent.class);

    private final String name;
    private final StateStore store;
    private final Claims claims;
    private final TaskRunner runner;
    private final Clock clock;
    private final Reporter reporter;
    private final WorkThread thread = new WorkThread("work-agent");
    private final WorkerIdentification identification;
    private final OrderSender orders;
    /** What the worker says of itself; null while no worker is known. */
    private WorkerInfo facts;

    /** When the worker said it, by the monotonic clock. */
    private long factsMs;
    /** Tells what the known worker says of itself from what others say; null while no worker is known. */
    private AnnouncementFilter<WorkerInfo.Description> announcements;
    /** Whether the worker has said that it leaves. */
    private boolean leaving;

    private Incarnation incarnation;
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
     * @param evacuations tells whether the worker's availability zone is under evacuation; empty if none ever is
     */
    public BatchAgent(
            String name,
            StateStore store,
            TaskRunner runner,
            Clock clock,
            long leaseMs,
            Optional<EvacuationGuard> evacuations) {
        this.name = name;
        this.store = store;
        claims = new Claims(name, store, clock, leaseMs);
        this.runner = runner;
        this.clock = clock;
        AgentContext context = new Context();
        reporter = new Reporter(name, claims, clock, leaseMs, context);
        orders = new OrderSender(runner, new JobPayloads(store), evacuations, clock, reporter, context);
        identification = new WorkerIdentification(runner, context, this::identified);
    }

    /** Starts, and goes on with the worker that an earlier process of this agent looked after. */
    public void start() {
        thread.execute(this::resume);
        thread.scheduleWithFixedDelay(() -> guarded(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        claims.stored().whenCompleteAsync((row, t) -> guarded(() -> resumeWith(row, t)), thread);
    }

    private void resumeWith(Optional<StoredRow> row, Throwable t) {
        if (closed) {
            return;
        }
        if (t != null) {
            later(this::resume);
            return;
        }
        Claims.report(row).filter(r -> !r.instance().isEmpty()).ifPresent(r -> {
            become(WorkerInfo.of(r));
            claim();
        });
        identification.start(row.map(StoredRow::version).orElse(0L)).ifPresent(this::take);
    }

    /** Takes a worker's heartbeat. */
    public void heartbeat(WorkerInfo sent) {
        thread.execute(() -> guarded(() -> take(sent)));
    }

    private void take(WorkerInfo sent) {
        if (facts != null && facts.sameProcess(sent)) {
            if (!accept(sent)) {
                return;
            }
            boolean changed = sent.draining() != facts.draining()
                    || sent.outlook().tellsLeave() != facts.outlook().tellsLeave()
                    || !sent.description().equals(facts.description());
            note(sent);
            // A worker that still announces itself as ready has not left.
            leaving &= sent.draining();
            if (changed) {
                EVENTS.info(
                        "worker-changed",
                        "instance",
                        sent.instance(),
                        "draining",
                        sent.draining(),
                        "leavesInMs",
                        sent.outlook().leavesInMs());
                reportNow();
            }
            return;
        }
        if (facts != null && sent.bornMs() < facts.bornMs()) {
            EVENTS.info("stale-heartbeat", "instance", sent.instance(), "born", sent.bornMs(), "known", facts.bornMs());
            return;
        }
        identification.announce(sent);
    }

    private boolean accept(WorkerInfo sent) {
        AnnouncementFilter.Verdict verdict = announcements.take(sent.description(), sent.sequence());
        if (verdict == AnnouncementFilter.Verdict.DOUBTFUL) {
            EVENTS.warn("heartbeat-doubtful", "worker", sent, "known", facts);
        }
        return verdict == AnnouncementFilter.Verdict.ACCEPTED;
    }

    private void note(WorkerInfo worker) {
        facts = worker;
        factsMs = clock.nowMs();
    }

    private void become(WorkerInfo worker) {
        note(worker);
        announcements = new AnnouncementFilter<>(worker.description(), worker.sequence());
    }

    private void identified(WorkerInfo worker) {
        EVENTS.info("worker-found", "worker", worker);
        become(worker);
        leaving = false;
        claim();
    }

    /**
     * Takes a worker's word that it leaves as planned.
     *
     * <p>The worker may go on for seconds, for instance because the answer to its call is lost, so its runs count as ended
     * only when it no longer listens.
     */
    public void deregistered(String instance) {
        thread.execute(() -> guarded(() -> {
            if (facts != null && facts.instance().equals(instance) && !leaving) {
                EVENTS.info("worker-deregistered", "instance", instance);
                leaving = true;
                facts = facts.withDraining();
                reportNow();
            }
        }));
    }

    private void claim() {
        if (claiming || closed) {
            return;
        }
        claiming = true;
        drop();
        WorkerInfo worker = facts;
        claims.claim(worker)
                .whenCompleteAsync(
                        (claimed, t) -> guarded(() -> {
                            claiming = false;
                            if (t != null) {
                                PollenreachException e = PollenreachException.of(t);
                                EVENTS.failure("claim-failed", "instance", worker.instance(), e);
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
        if (incarnation != null && incarnation.watch != null) {
            incarnation.watch.close();
        }
        incarnation = null;
    }

    private void begin(Incarnation claimed) {
        incarnation = claimed;
        identification.setToken(claimed.token);
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

    private void takeOrders(Incarnation inc, Rows rows, boolean whole) {
        if (inc != incarnation) {
            return;
        }
        Optional<StoredRow> row =
                rows.rows().stream().filter(r -> r.key().equals(name)).reduce((a, b) -> b);
        if (row.isEmpty() && !whole
                || row.map(r -> r.version() <= inc.ordersSeen).orElse(false)) {
            return;
        }
        Optional<WorkerOrders> read = row.flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class));
        boolean unreadable = read.isEmpty() && row.filter(r -> !r.removed()).isPresent();
        if (unreadable && inc.ordersSeen > 0) {
            // The worker goes on under the orders before these; the next ones replace both.
            return;
        }
        WorkerOrders written = read.orElse(WorkerOrders.none(""));
        if (written.incarnation().equals(inc.id)) {
            // The scheduler knows this incarnation, so it has taken what earlier incarnations left.
            inc.formerEnds = List.of();
        }
        WorkerOrders taken = written.incarnation().equals(inc.id) ? written : WorkerOrders.none(inc.id);
        boolean first = inc.ordersSeen == 0;
        inc.ordersSeen = row.map(StoredRow::version).orElse(1L);
        boolean changed = inc.runs.take(taken);
        if (first) {
            poll(inc);
        }
        if (!taken.stops().isEmpty()) {
            inc.reportSoon = true;
        }
        if (changed) {
            orders.send(inc);
        }
        reporter.reportWhenDue(inc);
    }

    private void poll(Incarnation inc) {
        if (inc != incarnation || inc.polling || closed) {
            return;
        }
        if (inc.hasNoWorker()) {
            reporter.reportWhenDue(inc);
            return;
        }
        inc.polling = true;
        long sentMs = clock.nowMs();
        long waitMs = inc.settled ? pollWaitMs(inc) : 0;
        boolean extendsLease = inc.leaseUntilMs > 0 && !inc.replaced;
        OptionalLong until = extendsLease ? OptionalLong.of(inc.leaseUntilMs) : OptionalLong.empty();
        runner.poll(inc.authority(), inc.endsStored, until, waitMs)
                .whenCompleteAsync((v, t) -> guarded(() -> polled(inc, v, t, sentMs)), thread);
    }

    private long pollWaitMs(Incarnation inc) {
        if (reporter.isOverdue(inc)) {
            return SHORT_POLL_WAIT_MS;
        }
        return inc.runs.idle() ? IDLE_POLL_WAIT_MS : POLL_WAIT_MS;
    }

    private void polled(Incarnation inc, TaskRunner.WorkerStatus view, Throwable t, long sentMs) {
        inc.polling = false;
        if (inc != incarnation) {
            return;
        }
        if (t != null) {
            pollFailed(inc, PollenreachException.of(t));
            return;
        }
        inc.replaced = false;
        inc.refusedPolls.clear();
        inc.polledMs = clock.nowMs();
        inc.runnerClockMs = view.clockMs();
        if (inc.runs.take(view, sentMs)) {
            inc.reportSoon = true;
        }
        if (!inc.settled && inc.runs.accountsFor(view.running())) {
            inc.settled = true;
            inc.reportSoon = true;
        }
        reporter.reportWhenDue(inc);
        orders.send(inc);
        inc.fillers.adjust(inc.runs.atWork(), view.loads(), inc.polledMs, (run, percent, answered) -> {
            runner.pace(inc.authority(), run, percent)
                    .whenCompleteAsync((v, e) -> guarded(() -> paced(run, percent, answered, e)), thread);
        });
        if (inc.runs.newestEnd() > inc.endsStored) {
            // The worker answers at once while it has ends to list, until the store has them.
            thread.schedule(() -> guarded(() -> poll(inc)), UNSTORED_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            poll(inc);
        }
    }

    private static void paced(TaskRun run, int percent, Consumer<Boolean> answered, Throwable t) {
        if (t != null) {
            FillerPacer.noteFailure(run, percent, PollenreachException.of(t));
        }
        answered.accept(t == null);
    }

    private void pollFailed(Incarnation inc, PollenreachException e) {
        EVENTS.failure("poll-failed", "instance", inc.worker.instance(), e);
        if (e.code() == ResultCode.STALE_ATTEMPT) {
            claim();
            return;
        }
        if (hasEnded(inc, e)) {
            EVENTS.info(
                    "worker-left",
                    "instance",
                    facts.instance(),
                    "announced",
                    leaving,
                    "code",
                    e.code().number());
            leaving = false;
            facts = facts.withoutProcess();
            claim();
            return;
        }
        inc.noteFailure(e);
        later(() -> poll(inc));
    }

    /** Tells whether a failed poll shows that the worker process has ended, and with it all its runs. */
    private boolean hasEnded(Incarnation inc, PollenreachException e) {
        if (e.code() == ResultCode.PEER_UNREACHABLE) {
            return inc.refusedPolls.add(clock.nowMs());
        }
        inc.refusedPolls.clear();
        return leaving && e.code() == ResultCode.NOT_FOUND;
    }

    private void tick() {
        Incarnation inc = incarnation;
        if (inc == null) {
            return;
        }
        if (inc.runs.waitsToSend()) {
            orders.send(inc);
        }
        reporter.reportWhenDue(inc);
    }

    private void reportNow() {
        if (incarnation != null) {
            incarnation.reportSoon = true;
            reporter.reportWhenDue(incarnation);
        }
    }

    private void later(Runnable work) {
        if (!closed) {
            thread.schedule(() -> guarded(work), RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | StackOverflowError e) {
            EVENTS.warn("agent-failed", "error", String.valueOf(e), "at", e.getStackTrace()[0]);
        } catch (Error e) {
            FatalErrors.end("work-agent", e);
            throw e;
        }
    }

    private final class Context implements AgentContext {
        @Override
        public boolean isCurrent(Incarnation inc) {
            return inc == incarnation && !closed;
        }

        @Override
        public WorkerInfo newestFacts() {
            return facts.after(clock.nowMs() - factsMs);
        }

        @Override
        public void stored(Incarnation inc) {
            orders.send(inc);
        }

        @Override
        public void claimLost() {
            claim();
        }

        @Override
        public void execute(Runnable work) {
            thread.execute(() -> guarded(work));
        }

        @Override
        public void later(Runnable work) {
            BatchAgent.this.later(work);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.shutdownNow();
        drop();
    }
}
