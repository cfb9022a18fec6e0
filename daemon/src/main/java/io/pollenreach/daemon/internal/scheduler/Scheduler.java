package io.pollenreach.daemon.internal.scheduler;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.StoredRow;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.daemon.internal.store.Transaction;
import io.pollenreach.internal.batch.JobOutlook;

/**
 * Takes part in leader elections, and schedules while this entry is the leader.
 *
 * <p>Invariant: every write of a scheduler depends on the version of the term under which it was elected, so that one
 * that was replaced, or whose earlier write is still in flight, changes nothing any more. If the outcome of a
 * write is unknown, it campaigns again and reloads the whole state. Other errors end the thread, and with it the process.
 * Thread-safe; one thread does all the work.
 */
public final class Scheduler implements AutoCloseable {
    /** Interval at which the leader writes a heartbeat, in milliseconds. */
    static final long HEARTBEAT_INTERVAL_MS = 1_000;

    /**
     * Time without a heartbeat after which another entry campaigns, in milliseconds: two missed heartbeats, and 500
     * ms for the store.
     */
    static final long LEADER_TIMEOUT_MS = 2_500;

    /**
     * How long one watch call of the scheduler waits for jobs, cancellations and reports, in milliseconds. The constant
     * {@code ORDERS_WAIT_MS} of the agent's class {@code BatchAgent} explains the value.
     */
    public static final long WATCH_WAIT_MS = 1_200;

    private static final long ELECTION_CHECK_INTERVAL_MS = 50;
    private static final long MAX_ELECTION_JITTER_MS = 150;
    private static final long CLOSE_TIMEOUT_MS = 1_500;
    private static final long QUESTION_TIMEOUT_MS = 2_000;
    private static final Events EVENTS = Events.of(Scheduler.class);

    private final SchedulerContext context;
    private final String self;
    private final StateStore store;
    private final LeaderWatch leader;
    private final MeterRegistry metrics;
    private final Thread thread = new Thread(this::run, "scheduler");
    private volatile boolean closed;
    private volatile Term term;
    private boolean outcomeUnknown;

    /**
     * Creates a scheduler that is not started yet.
     *
     * @param context the store and the other services that the scheduler uses
     * @param metrics the registry in which decisions are counted
     */
    public Scheduler(SchedulerContext context, MeterRegistry metrics) {
        this.context = context;
        self = context.self();
        store = context.store();
        leader = context.leader();
        this.metrics = metrics;
        thread.setDaemon(true);
    }

    /** Starts to take part in leader elections. */
    public void start() {
        thread.start();
    }

    /** Tells whether this entry is the leader. */
    public boolean isLeader() {
        return term != null;
    }

    /**
     * Tells why the waiting tasks of a job wait.
     *
     * @return empty if the job is not known; fails with {@code NOT_LEADER} if another entry leads, and with
     *     {@code PEER_TIMEOUT} if the scheduler is busy for long
     */
    public CompletableFuture<Optional<JobOutlook>> outlook(String job) {
        CompletableFuture<Optional<JobOutlook>> question = new CompletableFuture<>();
        Optional.ofNullable(term)
                .ifPresentOrElse(
                        t -> t.answer(job, question),
                        () -> question.completeExceptionally(
                                new PollenreachException(ResultCode.NOT_LEADER, "entry " + self + " does not lead")));
        return question.orTimeout(QUESTION_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .exceptionallyCompose(t -> CompletableFuture.failedFuture(
                        t instanceof TimeoutException
                                ? new PollenreachException(ResultCode.PEER_TIMEOUT, "the scheduler did not answer")
                                : t));
    }

    private void run() {
        while (!closed) {
            try {
                if (outcomeUnknown || leader.seemsLeaderless(self, LEADER_TIMEOUT_MS)) {
                    campaign();
                } else {
                    Thread.sleep(ELECTION_CHECK_INTERVAL_MS);
                }
            } catch (InterruptedException e) {
                // Nobody interrupts the thread of a running scheduler.
                throw new IllegalStateException("the scheduler was interrupted", e);
            } catch (RuntimeException | StackOverflowError e) {
                term = null;
                PollenreachException failure = PollenreachException.of(e);
                EVENTS.warn(
                        "leadership-lost",
                        "entry",
                        self,
                        "code",
                        failure.code().number(),
                        "error",
                        failure.getMessage());
                outcomeUnknown = failure.code() == ResultCode.WRITE_UNKNOWN && !closed;
                if (failure.code() == ResultCode.INTERNAL) {
                    EVENTS.warn("scheduler-failed", "error", String.valueOf(e.getCause()), "at", e.getStackTrace()[0]);
                }
            }
        }
    }

    private void recordDecision(String event, Object... keysAndValues) {
        metrics.counter("pollenreach.scheduler.decisions", "event", event).increment();
        EVENTS.info(event, keysAndValues);
    }

    private void campaign() throws InterruptedException {
        long seenVersion = leader.termVersion();
        if (!outcomeUnknown) {
            Thread.sleep(ThreadLocalRandom.current().nextLong(MAX_ELECTION_JITTER_MS));
        }
        Optional<StoredRow> row = store.get(Tables.LEADER, Tables.TERM).join();
        long version = row.map(StoredRow::version).orElse(0L);
        String holder = row.flatMap(r -> RowCodec.fromRow(r, LeaderRows.Term.class))
                .map(LeaderRows.Term::holder)
                .orElse("");
        // Another entry may have become leader since the watch last saw none.
        if (!holder.isEmpty() && !holder.equals(self) && (outcomeUnknown || version != seenVersion)) {
            outcomeUnknown = false;
            return;
        }
        Transaction tx = new Transaction()
                .expect(Tables.LEADER, Tables.TERM, version)
                .write(Tables.LEADER, Tables.TERM, RowCodec.toValue(new LeaderRows.Term(self)));
        long newVersion = store.commit(tx).join();
        outcomeUnknown = false;
        EVENTS.info("leader-elected", "entry", self, "term", newVersion, "before", holder);
        Term t = new Term(context, newVersion, this::recordDecision, metrics);
        term = t;
        try {
            t.load();
            while (!closed) {
                t.step();
            }
            t.stepDown();
        } finally {
            term = null;
            t.close();
        }
    }

    @Override
    public void close() {
        closed = true;
        Term t = term;
        if (t != null) {
            t.wake();
        }
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
