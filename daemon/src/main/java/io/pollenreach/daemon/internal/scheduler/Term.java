package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

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
import io.pollenreach.internal.batch.AdviceCache;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.DecisionLog;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * One term of a leader: loads the whole state, then makes decisions on each change and stores them.
 *
 * <p>Confined to the scheduler's thread, except for {@link #wake()}; watches pass their rows on through a queue.
 */
final class Term implements AutoCloseable {
    /** Longest pause between two passes, in milliseconds. */
    private static final long TICK_MS = 200;

    private static final long RETRY_MS = 100;

    /** How long ended jobs can still be queried, in milliseconds; the platform requires two minutes. */
    private static final long KEEP_ENDED_MS = 180_000;

    private static final long EXPIRE_EVERY_MS = 10_000;
    private static final Events EVENTS = Events.of(Term.class);

    private final String self;
    private final long version;
    private final StateStore store;
    private final LeaderWatch leader;
    private final Supplier<Map<String, Integer>> guarantees;
    private final Advisor advisor;
    private final Clock clock;
    private final SchedulerState book;
    private final LostWorkerDetector silent;
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final List<TableWatch> watches = new ArrayList<>();
    private TableWatch workersWatch;
    private long beats;
    private long beatenMs;
    private long expiredMs;
    /**
     * Whether the newest decisions could not be stored; no further decisions are made until they are, because agents
     * do not know of them.
     */
    private boolean unstored;

    Term(SchedulerContext context, long version, DecisionLog log) {
        this.version = version;
        self = context.self();
        store = context.store();
        leader = context.leader();
        guarantees = context.guarantees();
        advisor = context.advisor();
        clock = context.clock();
        book = new SchedulerState(log);
        silent = new LostWorkerDetector(book, context.registry(), context.leaseMs());
        expiredMs = clock.nowMs();
    }

    /** Loads the whole state and starts to follow its changes. */
    void load() {
        long startMs = clock.nowMs();
        CompletableFuture<Rows> cancels = store.list(Tables.CANCELS);
        CompletableFuture<Rows> jobs = store.list(Tables.JOBS);
        CompletableFuture<Rows> progress = store.list(Tables.PROGRESS);
        CompletableFuture<Rows> workers = store.list(Tables.WORKERS);
        List<CompletableFuture<Rows>> orders = new ArrayList<>();
        for (int i = 0; i < Tables.ORDER_TABLES; i++) {
            orders.add(store.list(Tables.orders(i)));
        }
        long nowMs = clock.nowMs();
        cancels.join().rows().forEach(r -> book.cancel(r.key(), nowMs));
        loadJobs(jobs.join(), progress.join(), nowMs);
        Map<String, StoredRow> ordersByAgent = new HashMap<>();
        orders.forEach(o -> o.join().rows().forEach(r -> ordersByAgent.put(r.key(), r)));
        workers.join().rows().forEach(r -> loadWorker(r, ordersByAgent));
        book.finishRestore(nowMs);
        follow(Tables.JOBS, jobs.join().version(), this::acceptJob);
        follow(Tables.CANCELS, cancels.join().version(), r -> book.cancel(r.key(), clock.nowMs()));
        workersWatch = follow(Tables.WORKERS, workers.join().version(), this::takeReport);
        EVENTS.info(
                "term-loaded",
                "term",
                version,
                "jobs",
                jobs.join().rows().size(),
                "workers",
                workers.join().rows().size(),
                "ms",
                clock.nowMs() - startMs);
    }

    private void loadJobs(Rows jobs, Rows progress, long nowMs) {
        Map<String, ProgressRow> progressById = new HashMap<>();
        progress.rows()
                .forEach(r -> RowCodec.fromRow(r, ProgressRow.class).ifPresent(p -> progressById.put(r.key(), p)));
        for (StoredRow row : jobs.rows()) {
            RowCodec.fromRow(row, BatchJob.class).ifPresent(job -> {
                ProgressRow p = progressById.get(job.id());
                if (p == null) {
                    book.accept(job, row.version(), nowMs);
                } else {
                    book.restore(job, row.version(), p, nowMs);
                }
            });
        }
    }

    private void loadWorker(StoredRow row, Map<String, StoredRow> ordersByAgent) {
        RowCodec.fromRow(row, WorkerReport.class).ifPresent(report -> {
            StoredRow orders = ordersByAgent.get(report.agent());
            WorkerOrders known = orders == null
                    ? WorkerOrders.none(report.incarnation())
                    : RowCodec.fromRow(orders, WorkerOrders.class).orElse(WorkerOrders.none(report.incarnation()));
            book.restore(
                    report,
                    row.version(),
                    known,
                    orders == null ? 0 : orders.version(),
                    leader.writtenBeforeMs(row.version()));
        });
    }

    private interface RowTaker {
        void take(StoredRow row);
    }

    private TableWatch follow(String table, long after, RowTaker taker) {
        TableWatch.Listener listener = new TableWatch.Listener() {
            @Override
            public void snapshot(Rows rows) {
                changes(rows);
            }

            @Override
            public void changes(Rows rows) {
                if (!rows.rows().isEmpty()) {
                    inbox.add(
                            () -> rows.rows().stream().filter(r -> !r.removed()).forEach(taker::take));
                }
            }
        };
        TableWatch watch = new TableWatch(store, table, Scheduler.WATCH_WAIT_MS, clock, listener);
        watches.add(watch);
        watch.startAfter(after);
        return watch;
    }

    private void acceptJob(StoredRow row) {
        RowCodec.fromRow(row, BatchJob.class).ifPresent(j -> book.accept(j, row.version(), clock.nowMs()));
    }

    private void takeReport(StoredRow row) {
        RowCodec.fromRow(row, WorkerReport.class).ifPresent(r -> book.report(r, row.version(), clock.nowMs()));
    }

    /** Waits for changes or the next tick, then makes and stores decisions. */
    void step() throws InterruptedException {
        Runnable first = inbox.poll(TICK_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            first.run();
            for (Runnable next = inbox.poll(); next != null; next = inbox.poll()) {
                next.run();
            }
        }
        long nowMs = clock.nowMs();
        loseSilentWorkers(nowMs);
        book.setGuarantees(guarantees.get());
        if (!unstored) {
            book.plan(nowMs, clock.wallMs());
            book.advice().pollQueries().forEach(this::ask);
        }
        storeChanges(nowMs);
        expire(nowMs);
    }

    private void ask(AdviceCache.Query question) {
        long askedMs = clock.nowMs();
        advisor.advise(question.step(), question.workers())
                .whenComplete((advice, t) -> inbox.add(() -> takeAdvice(question, advice, t, askedMs)));
    }

    private void takeAdvice(AdviceCache.Query question, Advisor.Advice advice, Throwable t, long askedMs) {
        long nowMs = clock.nowMs();
        if (t == null) {
            book.advice().recordAdvice(question, advice.ticketByWorker(), advice.validMs(), askedMs);
            EVENTS.info(
                    "advice-taken",
                    "step",
                    question.step(),
                    "asked",
                    question.workers().size(),
                    "approved",
                    advice.ticketByWorker().size(),
                    "validMs",
                    advice.validMs(),
                    "ms",
                    nowMs - askedMs);
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        book.advice().recordFailure(question, nowMs);
        EVENTS.warn("advice-failed", "step", question.step(), "code", e.code().number(), "error", e.getMessage());
    }

    private void loseSilentWorkers(long nowMs) throws InterruptedException {
        for (LostWorkerDetector.Loss loss : silent.find(this::heardFor, nowMs)) {
            declareLost(loss.report(), loss.why(), nowMs);
        }
    }

    private boolean heardFor(long forMs) {
        return leader.healthyFor(forMs) && workersWatch.healthyFor(0);
    }

    private void declareLost(WorkerReport report, String why, long nowMs) throws InterruptedException {
        WorkerReport lost = report.withLostMark();
        long reportVersion = book.reportVersion(report.agent());
        Transaction tx = guarded()
                .expect(Tables.WORKERS, report.agent(), reportVersion)
                .write(Tables.WORKERS, report.agent(), RowCodec.toValue(lost));
        try {
            long at = store.commit(tx).join();
            EVENTS.warn(
                    "worker-declared-lost",
                    "worker",
                    report.agent(),
                    "incarnation",
                    report.incarnation(),
                    "report",
                    reportVersion,
                    "why",
                    why);
            book.report(lost, at, nowMs);
        } catch (RuntimeException e) {
            PollenreachException failure = PollenreachException.of(e);
            if (failure.code() != ResultCode.CONFLICT) {
                rethrowUnlessUnavailable(failure);
                return;
            }
            checkTerm();
            EVENTS.info("worker-reported-concurrently", "worker", report.agent(), "report", reportVersion);
        }
    }

    private Transaction guarded() {
        return new Transaction().expect(Tables.LEADER, Tables.TERM, version);
    }

    /** Throws unless this term is still the one in the store. */
    private void checkTerm() {
        long now = store.get(Tables.LEADER, Tables.TERM)
                .join()
                .map(StoredRow::version)
                .orElse(0L);
        if (now != version) {
            throw new PollenreachException(ResultCode.CONFLICT, "term " + now + " has replaced term " + version);
        }
    }

    private void storeChanges(long nowMs) throws InterruptedException {
        SchedulerState.Changes changes = book.changes();
        if (changes.isEmpty() && nowMs - beatenMs < Scheduler.HEARTBEAT_INTERVAL_MS) {
            return;
        }
        try {
            long last = version;
            for (Transaction tx : transactions(changes)) {
                last = store.commit(tx).join();
            }
            beatenMs = nowMs;
            book.committed(last);
            unstored = false;
        } catch (RuntimeException e) {
            unstored = true;
            rethrowUnlessUnavailable(PollenreachException.of(e));
        }
    }

    // Progress is stored before orders, so the placement of every ordered run is known.
    private List<Transaction> transactions(SchedulerState.Changes changes) {
        List<Transaction> all = new ArrayList<>();
        Transaction tx = guarded();
        LeaderRows.Heartbeat beat = new LeaderRows.Heartbeat(self, ++beats, book.waitingByQueue());
        tx.write(Tables.LEADER, Tables.BEAT, RowCodec.toValue(beat));
        for (Map.Entry<String, ProgressRow> j : changes.jobs().entrySet()) {
            tx = roomIn(tx, all);
            tx.write(Tables.PROGRESS, j.getKey(), RowCodec.toValue(j.getValue()));
        }
        for (Map.Entry<String, WorkerOrders> w : changes.workers().entrySet()) {
            tx = roomIn(tx, all);
            tx.write(Tables.ordersOf(w.getKey()), w.getKey(), RowCodec.toValue(w.getValue()));
        }
        all.add(tx);
        return all;
    }

    private Transaction roomIn(Transaction tx, List<Transaction> full) {
        if (tx.size() < StateStore.MAX_ENTRIES && tx.bytes() < StateStore.MAX_BYTES) {
            return tx;
        }
        full.add(tx);
        return guarded();
    }

    private void rethrowUnlessUnavailable(PollenreachException e) throws InterruptedException {
        if (e.code() != ResultCode.PLATFORM_UNAVAILABLE) {
            throw e;
        }
        // Nothing was written, and agents act only on stored changes, so the same changes can be stored again.
        Thread.sleep(RETRY_MS);
    }

    private void expire(long nowMs) throws InterruptedException {
        if (nowMs - expiredMs < EXPIRE_EVERY_MS) {
            return;
        }
        expiredMs = nowMs;
        List<String> old = book.expire(KEEP_ENDED_MS, nowMs);
        for (String id : old) {
            Transaction tx = guarded()
                    .remove(Tables.JOBS, id)
                    .remove(Tables.PROGRESS, id)
                    .remove(Tables.CANCELS, id);
            try {
                store.commit(tx).join();
            } catch (RuntimeException e) {
                rethrowUnlessUnavailable(PollenreachException.of(e));
            }
        }
    }

    /** Steps down, so that another entry can take over without waiting for the timeout. */
    void stepDown() {
        Transaction tx = guarded().write(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("")));
        store.commit(tx).join();
        EVENTS.info("leader-stepped-down", "entry", self, "term", version);
    }

    void wake() {
        inbox.add(() -> {});
    }

    @Override
    public void close() {
        watches.forEach(TableWatch::close);
    }
}
