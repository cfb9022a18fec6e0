package io.pollenreach.bench.standin;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.pollenreach.Clock;
import io.pollenreach.internal.json.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * A stand-in of the platform: table service, object store and the runtimes of any number of workers.
 *
 * <p>Also answers {@code GET /history?since=N} and {@code POST /faults}, which no fault affects. Safe for use by many
 * threads.
 */
public final class PlatformServer implements AutoCloseable {
    private static final int SERVER_THREADS = 2;
    private static final int HISTORY_EVENTS = 400_000;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final Clock clock = Clock.system();
    private final History history = new History(clock, HISTORY_EVENTS);
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread thread = new Thread(r, "platform-timers");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, WorkerRuntime> workers = new ConcurrentHashMap<>();
    private final StoreCalls store;
    private final long usageLagMs;
    private final HttpServer server;
    private volatile FaultState faults = new FaultState(PlatformFaults.NONE);

    /**
     * Starts a platform.
     *
     * @param address where it listens, as {@code ip:port}; port 0 picks a free one
     * @param writesPerS how many rows or objects may be written in a second
     * @param readsPerS how many reads are served in a second
     * @param usageLagMs how old the reported usage of tasks is, in milliseconds
     */
    public PlatformServer(String address, int writesPerS, int readsPerS, long usageLagMs) throws Exception {
        this.usageLagMs = usageLagMs;
        store = new StoreCalls(
                new TableStore(history), new TokenBucket(clock, writesPerS), new TokenBucket(clock, readsPerS));
        server = new HttpServer(address, SERVER_THREADS, this::handle);
    }

    /** Returns where it listens, as {@code ip:port}. */
    public String address() {
        return server.address();
    }

    /** Returns the events after a sequence number. */
    public HistoryPage history(long since) {
        return history.since(since);
    }

    /** Sets the faults of the store, or those of one worker when it is named. */
    public void setFaults(PlatformFaults f) {
        if (f.worker() != null) {
            worker(f.worker()).setFailStarts(f.failStarts());
        } else {
            faults = new FaultState(f);
        }
        history.append(new HistoryEvent.FaultsSet(Json.lenient().valueToTree(f)));
    }

    @Override
    public void close() throws Exception {
        server.close();
        timers.shutdownNow();
    }

    private void handle(Context ctx) {
        Exchange x = new Exchange(ctx);
        x.body().then(body -> {
            try {
                route(x, body);
            } catch (IllegalArgumentException e) {
                x.answerText(BAD_REQUEST, String.valueOf(e.getMessage()));
            }
        });
    }

    private void route(Exchange x, byte[] body) throws Exception {
        switch (x.segment(0)) {
            case "history":
                x.answer(OK, history(Long.parseLong(x.query("since", "0"))));
                return;
            case "faults":
                setFaults(Exchange.parse(body, PlatformFaults.class));
                x.answer(OK);
                return;
            case "workers":
                new WorkerCalls(worker(x.segment(1))).handle(x, body);
                return;
            case "tables":
            case "transactions":
            case "objects":
                answerFromStore(x, body, faults);
                return;
            default:
                x.answer(NOT_FOUND);
        }
    }

    private WorkerRuntime worker(String name) {
        return workers.computeIfAbsent(name, n -> new WorkerRuntime(n, clock, history, timers, usageLagMs));
    }

    private void answerFromStore(Exchange x, byte[] body, FaultState f) throws Exception {
        if (f.settings.slowMs() > 0) {
            Promise.value(body).defer(Duration.ofMillis(f.settings.slowMs())).then(b -> answerOrFail(x, b, f));
            return;
        }
        answerOrFail(x, body, f);
    }

    private void answerOrFail(Exchange x, byte[] body, FaultState f) throws Exception {
        if (f.settings.down()) {
            x.answer(UNAVAILABLE);
            return;
        }
        if (!store.admit(x, body)) {
            x.answer(TOO_MANY_REQUESTS);
            return;
        }
        StoreCalls.Answer answer = store.apply(x, body);
        if (!f.loss.hits(f.settings.loseAnswersPercent())) {
            answer.send(x);
            return;
        }
        if (f.silence.hits(FaultState.SILENT_PERCENT)) {
            x.keepSilent();
            return;
        }
        x.close();
    }

    /** Faults in force with the choices that they draw from. Safe for use by many threads. */
    private static final class FaultState {
        private static final int SILENT_PERCENT = 50;

        private final PlatformFaults settings;
        private final Dice loss;
        private final Dice silence;

        FaultState(PlatformFaults settings) {
            this.settings = settings;
            loss = new Dice(settings.seed());
            silence = new Dice(~settings.seed());
        }
    }
}
