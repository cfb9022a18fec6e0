package io.pollenreach.daemon.internal.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.evacuation.EvacuationSource;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Rows;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.DecisionLog;
import io.pollenreach.internal.batch.JobOutlook;
import io.pollenreach.internal.batch.LossReason;
import io.pollenreach.internal.batch.LostWorkerDetector;
import io.pollenreach.internal.batch.ProgressRow;
import io.pollenreach.internal.batch.SchedulerState;
import io.pollenreach.internal.batch.StateChanges;
import io.pollenreach.internal.batch.StoredWorker;
import io.pollenreach.internal.batch.WorkerOrders;
import io.pollenreach.internal.batch.WorkerReport;

/**
 * One term of a leader: loads the whole state, then makes decisions on each change and stores them.
 *
 * <p>Confined to the scheduler's thread, except for {@link #wake()} and {@link #answer}; watches pass their rows on through a queue.
 */
final class Term implements AutoCloseable {
    /** Longest pause between two passes, in milliseconds. */
    private static final long MAX_PASS_INTERVAL_MS = 200;

    private static final long STORE_RETRY_DELAY_MS = 100;

    /** How often one step tries to store its decisions while evacuations begin; the next step goes on. */
    private static final int MAX_STORE_TRIES = 3;

    /** How long a load repeats reads that fail, in milliseconds; another entry takes over sooner if it hears nothing. */
    private static final long LOAD_RETRY_MS = 4_000;

    /** How long ended jobs can still be queried, in milliseconds; the platform requires two minutes. */
    private static final long ENDED_JOB_RETENTION_MS = 180_000;

    private static final long EXPIRY_INTERVAL_MS = 10_000;
    private static final Events EVENTS = Events.of(Term.class);

    private final String self;
    private final long version;
    private final StateStore store;
    private final LeaderWatch leader;
    private final Supplier<Map<String, Integer>> guarantees;
    private final EvacuationSource evacuations;
    private final AdviceRequests adviceRequests;
    private final Clock clock;
    private final SchedulerState state;
    private final PassMetrics passMetrics;
    private final OrderMetrics orderMetrics;
    private final long leaseMs;
    private final LostWorkerDetector lostWorkerDetector;
    private final RowRemover rowRemover;
    private final StateTransactions transactions;
    private final LearnedRows learnedRows;
    private final BacklogPublisher backlog;
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final List<TableWatch> watches = new ArrayList<>();
    /** Jobs whose progress is stored and could not be restored; they are not new, whenever their rows are read again. */
    private final Set<String> rejectedJobs = new HashSet<>();

    private TableWatch workersWatch;
    /** Whether the state is whole; before, its counts mean nothing. */
    private boolean loaded;

    private long heartbeatNumber;
    private long lastHeartbeatMs;
    private long lastPassMs;
    private long lastExpiryMs;
    /**
     * Whether the newest decisions could not be stored; no further decisions are made until they are, because agents
     * do not know of them.
     */
    private boolean hasUnstoredChanges;

    Term(SchedulerContext context, long version, DecisionLog log, MeterRegistry metrics) {
        passMetrics = new PassMetrics(metrics);
        this.version = version;
        self = context.self();
        store = context.store();
        leader = context.leader();
        guarantees = context.guarantees();
        evacuations = context.evacuations();
        clock = context.clock();
        state = new SchedulerState(log);
        adviceRequests = new AdviceRequests(state, context.advisor(), clock, inbox::add);
        orderMetrics = new OrderMetrics(metrics, state.orderCounts());
        leaseMs = context.leaseMs();
        backlog = new BacklogPublisher(state, clock, metrics);
        lostWorkerDetector = new LostWorkerDetector(state.workers(), leaseMs);
        rowRemover = new RowRemover(store, this::newTermTransaction, clock.nowMs());
        transactions = new StateTransactions(this::newTermTransaction, this::conditionOfOrders);
        learnedRows = new LearnedRows(state.observations(), metrics, clock.nowMs());
        lastExpiryMs = clock.nowMs();
    }

    /** Loads the whole state and starts to follow its changes. */
    void load() throws InterruptedException {
        long startMs = clock.nowMs();
        CompletableFuture<Rows> cancels = read(Tables.CANCELS, startMs);
        CompletableFuture<Rows> jobs = read(Tables.JOBS, startMs);
        CompletableFuture<Rows> progress = read(Tables.PROGRESS, startMs);
        CompletableFuture<Rows> workers = read(Tables.WORKERS, startMs);
        CompletableFuture<Rows> learned = read(Tables.LEARNED, startMs);
        List<CompletableFuture<Rows>> orders = new ArrayList<>();
        for (int i = 0; i < Tables.ORDER_TABLES; i++) {
            orders.add(read(Tables.orders(i), startMs));
        }
        List<CompletableFuture<Rows>> all = new ArrayList<>(orders);
        all.addAll(List.of(cancels, jobs, progress, workers, learned));
        awaitWithHeartbeats(CompletableFuture.allOf(all.toArray(CompletableFuture[]::new)));
        long nowMs = clock.nowMs();
        cancels.join().rows().forEach(r -> state.cancel(r.key(), nowMs));
        rowRemover.removeOrphans(jobs.join(), progress.join());
        loadJobs(jobs.join(), progress.join(), nowMs);
        List<StoredRow> orderRows =
                orders.stream().flatMap(o -> o.join().rows().stream()).toList();
        loadWorkers(workers.join(), orderRows, nowMs);
        learnedRows.load(learned.join(), nowMs);
        state.finishRestore(nowMs);
        loaded = true;
        follow(Tables.JOBS, jobs.join().version(), this::acceptJob);
        follow(Tables.CANCELS, cancels.join().version(), r -> state.cancel(r.key(), clock.nowMs()));
        workersWatch = follow(Tables.WORKERS, workers.join().version(), this::acceptReport);
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

    // A read that fails on a slow machine or store is repeated, since a new election would begin all reads anew.
    private CompletableFuture<Rows> read(String table, long startMs) {
        return store.list(table).exceptionallyCompose(t -> {
            if (clock.nowMs() - startMs > LOAD_RETRY_MS) {
                return CompletableFuture.failedFuture(t);
            }
            return CompletableFuture.runAsync(
                            () -> {}, CompletableFuture.delayedExecutor(STORE_RETRY_DELAY_MS, TimeUnit.MILLISECONDS))
                    .thenCompose(v -> read(table, startMs));
        });
    }

    /** Waits for the reads of a load, and meanwhile shows the other entries that this one leads. */
    private void awaitWithHeartbeats(CompletableFuture<Void> reads) throws InterruptedException {
        while (!reads.isDone()) {
            try {
                reads.get(Scheduler.HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                sendHeartbeat();
            } catch (ExecutionException e) {
                throw PollenreachException.of(e.getCause());
            }
        }
        sendHeartbeat();
    }

    /** Sends a heartbeat without waiting for the store; its outcome shows in the next write that depends on the term. */
    private void sendHeartbeat() {
        Transaction tx = newTermTransaction().write(Tables.LEADER, Tables.BEAT, RowCodec.toValue(nextHeartbeat()));
        store.commit(tx).exceptionally(t -> {
            PollenreachException e = PollenreachException.of(t);
            EVENTS.info(
                    "heartbeat-unconfirmed", "term", version, "code", e.code().number(), "error", e.getMessage());
            return 0L;
        });
    }

    private LeaderRows.Heartbeat nextHeartbeat() {
        return new LeaderRows.Heartbeat(self, ++heartbeatNumber, loaded ? state.waitingByQueue() : null);
    }

    private void loadJobs(Rows jobs, Rows progress, long nowMs) {
        Map<String, Map<String, ProgressRow>> progressByJob = new HashMap<>();
        // A row that cannot be read stays as null: without it a job would count as new, and run again.
        progress.rows().forEach(r -> progressByJob
                .computeIfAbsent(ProgressRow.jobOf(r.key()), id -> new HashMap<>())
                .put(r.key(), RowCodec.fromRow(r, ProgressRow.class).orElse(null)));
        for (StoredRow row : jobs.rows()) {
            RowReader.job(row).ifPresent(job -> {
                Map<String, ProgressRow> rowsByKey = progressByJob.get(job.id());
                long acceptedMs = Math.min(nowMs, leader.writtenBeforeMs(row.version()));
                if (rowsByKey == null) {
                    state.accept(job, row.version(), acceptedMs, nowMs);
                } else if (!RowReader.handle(
                        row, () -> state.restore(job, row.version(), rowsByKey, acceptedMs, nowMs))) {
                    rejectedJobs.add(job.id());
                }
            });
        }
    }

    /** Restores every worker that has a row of either kind; one whose rows cannot be read keeps its runs. */
    private void loadWorkers(Rows workers, List<StoredRow> orders, long nowMs) {
        Map<String, StoredRow> reportsByAgent = new HashMap<>();
        workers.rows().forEach(r -> reportsByAgent.put(r.key(), r));
        Map<String, StoredRow> ordersByAgent = new HashMap<>();
        orders.forEach(r -> ordersByAgent.put(r.key(), r));
        Set<String> agents = new TreeSet<>(reportsByAgent.keySet());
        agents.addAll(ordersByAgent.keySet());
        for (String agent : agents) {
            Optional<StoredRow> report = Optional.ofNullable(reportsByAgent.get(agent));
            Optional<StoredRow> ordered = Optional.ofNullable(ordersByAgent.get(agent));
            StoredWorker stored = new StoredWorker(
                    agent,
                    report.flatMap(RowReader::report),
                    report.map(StoredRow::version).orElse(0L),
                    report.map(r -> leader.writtenBeforeMs(r.version())).orElse(nowMs),
                    ordered.flatMap(r -> RowCodec.fromRow(r, WorkerOrders.class)),
                    ordered.map(StoredRow::version).orElse(0L));
            RowReader.handle(report.or(() -> ordered).orElseThrow(), () -> state.restore(stored));
        }
    }

    private TableWatch follow(String table, long after, Consumer<StoredRow> handler) {
        TableWatch.Listener listener = new TableWatch.Listener() {
            @Override
            public void snapshot(Rows rows) {
                changes(rows);
            }

            @Override
            public void changes(Rows rows) {
                if (!rows.rows().isEmpty()) {
                    inbox.add(() -> rows.rows().stream()
                            .filter(r -> !r.removed())
                            .forEach(r -> RowReader.handle(r, () -> handler.accept(r))));
                }
            }
        };
        TableWatch watch = new TableWatch(store, table, Scheduler.WATCH_WAIT_MS, clock, listener);
        watches.add(watch);
        watch.startAfter(after);
        return watch;
    }

    private void acceptJob(StoredRow row) {
        RowReader.job(row)
                .filter(j -> !rejectedJobs.contains(j.id()))
                .ifPresent(j -> state.accept(j, row.version(), clock.nowMs()));
    }

    private void acceptReport(StoredRow row) {
        long nowMs = clock.nowMs();
        RowReader.report(row)
                .ifPresentOrElse(
                        r -> state.report(r, row.version(), nowMs),
                        () -> state.reportUnreadable(row.key(), row.version(), nowMs));
    }

    /** Completes a question on a job, on the scheduler's thread; stays open if the term ends first. */
    void answer(String job, CompletableFuture<Optional<JobOutlook>> question) {
        question.completeAsync(() -> state.unitOrders().outlook(job, clock.nowMs()), inbox::add);
    }

    /** Waits for changes or the next tick, then makes and stores decisions. */
    void step() throws InterruptedException {
        Runnable first = inbox.poll(MAX_PASS_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            first.run();
            for (Runnable next = inbox.poll(); next != null; next = inbox.poll()) {
                next.run();
            }
        }
        long nowMs = clock.nowMs();
        declareLostWorkers(nowMs);
        state.setGuarantees(guarantees.get());
        state.setEvacuations(evacuations.versionByZone(), nowMs);
        // Most reports bring no news; time alone matters to tasks that wait for a better worker or for their due time.
        boolean passDue = state.placementChanged() || nowMs - lastPassMs >= MAX_PASS_INTERVAL_MS;
        if (passDue && !hasUnstoredChanges) {
            lastPassMs = nowMs;
            passMetrics.runPass(state, nowMs, clock.wallMs());
            orderMetrics.update();
            adviceRequests.send();
        }
        storeChanges(nowMs);
        expire(nowMs);
    }

    private void declareLostWorkers(long nowMs) throws InterruptedException {
        for (WorkerReport report : lostWorkerDetector.find(this::storeAvailableFor, nowMs)) {
            declareLost(report, nowMs);
        }
    }

    private boolean storeAvailableFor(long forMs) {
        return leader.healthyFor(forMs) && workersWatch.healthyFor(0);
    }

    private void declareLost(WorkerReport report, long nowMs) throws InterruptedException {
        WorkerReport lost = report.withLostMark();
        long reportVersion = state.workers().reportVersion(report.agent());
        Transaction tx = newTermTransaction()
                .expect(Tables.WORKERS, report.agent(), reportVersion)
                .write(Tables.WORKERS, report.agent(), RowCodec.toValue(lost));
        try {
            long lostVersion = store.commit(tx).join();
            EVENTS.warn(
                    "worker-declared-lost",
                    "worker",
                    report.agent(),
                    "incarnation",
                    report.incarnation(),
                    "report",
                    reportVersion,
                    "why",
                    LossReason.LEASE_EXPIRED.logName(),
                    "leaseToldMs",
                    report.leaseMs(),
                    "leaseMs",
                    leaseMs);
            state.declareLost(lost, lostVersion, nowMs);
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

    private Transaction newTermTransaction() {
        return new Transaction().expect(Tables.LEADER, Tables.TERM, version);
    }

    /** Throws unless this term is still the one in the store. */
    private void checkTerm() {
        long currentVersion = store.get(Tables.LEADER, Tables.TERM)
                .join()
                .map(StoredRow::version)
                .orElse(0L);
        if (currentVersion != version) {
            throw new PollenreachException(
                    ResultCode.CONFLICT, "term " + currentVersion + " has replaced term " + version);
        }
    }

    private void storeChanges(long nowMs) throws InterruptedException {
        StateChanges changes = state.changes();
        if (changes.isEmpty() && nowMs - lastHeartbeatMs < Scheduler.HEARTBEAT_INTERVAL_MS) {
            return;
        }
        hasUnstoredChanges = true;
        for (int tries = 1; hasUnstoredChanges && tries <= MAX_STORE_TRIES; tries++) {
            try {
                tryToStore(nowMs);
            } catch (RuntimeException e) {
                rethrowUnlessUnavailable(PollenreachException.of(e));
                return;
            }
        }
    }

    /** Stores the newest decisions; if an evacuation was in the way, changes them accordingly instead. */
    private void tryToStore(long nowMs) {
        List<Transaction> all = transactions.of(this::addLeaderRows, state.changes());
        List<Long> versions = new ArrayList<>();
        for (Transaction tx : all) {
            try {
                versions.add(store.commit(tx).join());
            } catch (RuntimeException e) {
                // The first condition is the term's.
                if (PollenreachException.of(e).code() != ResultCode.CONFLICT
                        || tx.conditions().size() == 1) {
                    throw e;
                }
                takeNewEvacuations();
                return;
            }
        }
        lastHeartbeatMs = nowMs;
        state.committed(versions.get(0));
        learnedRows.committed(nowMs);
        hasUnstoredChanges = false;
    }

    private void addLeaderRows(Transaction tx) {
        tx.write(Tables.LEADER, Tables.BEAT, RowCodec.toValue(nextHeartbeat()));
        learnedRows.addTo(tx, clock.nowMs());
        backlog.addTo(tx);
    }

    // Orders depend on the zones as the state knows them: a source may have learned more since.
    private Optional<Transaction.Condition> conditionOfOrders(String agent) {
        return Optional.of(state.workers().zone(agent))
                .filter(zone -> !state.isEvacuated(zone))
                .flatMap(evacuations::conditionFor);
    }

    /** Takes an evacuation into account that kept the newest decisions from being stored. */
    private void takeNewEvacuations() {
        checkTerm();
        evacuations.refresh().join();
        EVENTS.info("orders-outdated", "term", version, "zones", evacuations.versionByZone());
        state.setEvacuations(evacuations.versionByZone(), clock.nowMs());
    }

    private void rethrowUnlessUnavailable(PollenreachException e) throws InterruptedException {
        if (e.code() != ResultCode.PLATFORM_UNAVAILABLE) {
            throw e;
        }
        // Nothing was written, and agents act only on stored changes, so the same changes can be stored again.
        Thread.sleep(STORE_RETRY_DELAY_MS);
    }

    private void expire(long nowMs) throws InterruptedException {
        if (nowMs - lastExpiryMs < EXPIRY_INTERVAL_MS) {
            return;
        }
        lastExpiryMs = nowMs;
        for (Map.Entry<String, List<String>> job :
                state.expired(ENDED_JOB_RETENTION_MS, nowMs).entrySet()) {
            try {
                rowRemover.remove(job.getKey(), job.getValue());
                state.forget(job.getKey(), nowMs);
            } catch (RuntimeException e) {
                // Some rows may stay, and are removed with the next attempt; until then the job counts as ended.
                rethrowUnlessUnavailable(PollenreachException.of(e));
            }
        }
        rowRemover.expireWithdrawals(nowMs, inbox::add);
    }

    /** Returns the store's version of an agent's newest report. */
    long reportVersion(String agent) {
        return state.workers().reportVersion(agent);
    }

    /** Steps down, so that another entry can take over without waiting for the timeout. */
    void stepDown() {
        Transaction tx =
                newTermTransaction().write(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term("")));
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
