package io.pollenreach.bench.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.pollenreach.Clock;
import io.pollenreach.internal.json.Json;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * A stand-in of a runner, which serves requests in slots.
 *
 * <p>Requests wait for a slot in the order of their arrival; one more than slots and connections together is refused
 * with 503. Also answers {@code GET /history?since=N} and {@code POST /faults}. Safe for use by many threads: one lock
 * guards the slots, the queue and the counts.
 */
public final class RunnerServer implements AutoCloseable {
    private static final int SERVER_THREADS = 2;
    private static final int HISTORY_EVENTS = 400_000;
    private static final long LATE_ANSWER_MS = 3_000;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final Clock clock = Clock.system();
    private final History history = new History(clock, HISTORY_EVENTS);
    private final int slots;
    private final int connections;
    private final Map<List<String>, Integer> runs = new HashMap<>();
    private final ArrayDeque<Downstream<? super Boolean>> waiting = new ArrayDeque<>();
    private final HttpServer server;
    private int inUse;
    private volatile FaultState faults = new FaultState(RunnerFaults.NONE, 0);

    /**
     * Starts a runner.
     *
     * @param address where it listens, as {@code ip:port}; port 0 picks a free one
     * @param slots how many requests run at once
     * @param connections how many more may wait
     */
    public RunnerServer(String address, int slots, int connections) throws Exception {
        this.slots = slots;
        this.connections = connections;
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

    /** Sets the faults. */
    public void setFaults(RunnerFaults f) {
        faults = new FaultState(f, clock.nowMs() + f.freezeMs());
        history.append(new HistoryEvent.FaultsSet(Json.lenient().valueToTree(f)));
    }

    @Override
    public void close() throws Exception {
        server.close();
    }

    private void handle(Context ctx) {
        Exchange x = new Exchange(ctx);
        x.body().then(body -> route(x, body));
    }

    private void route(Exchange x, byte[] body) throws IOException {
        switch (x.segment(0)) {
            case "history":
                x.answer(OK, history(Long.parseLong(x.query("since", "0"))));
                return;
            case "faults":
                setFaultsFrom(x, body);
                return;
            default:
                serve(x, Work.parse(body));
        }
    }

    private void setFaultsFrom(Exchange x, byte[] body) {
        try {
            setFaults(Exchange.parse(body, RunnerFaults.class));
            x.answer(OK);
        } catch (IllegalArgumentException e) {
            x.answerText(BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private void serve(Exchange x, Work work) {
        Promise.<Boolean>async(this::awaitSlot).then(admitted -> {
            if (!admitted) {
                x.answer(UNAVAILABLE);
                return;
            }
            thaw().then(t -> run(x, work));
        });
    }

    private void run(Exchange x, Work work) {
        String workspace = x.header("X-Workspace");
        String id = x.header("X-Request-Id");
        int run = start(workspace, id);
        RunnerAnswer answer = new RunnerAnswer(id, workspace, work.echo(), run);
        Promise.value(answer)
                .defer(Duration.ofMillis(work.workMs() + faults.settings.slowMs()))
                .flatMap(a -> thaw().map(t -> a))
                .then(a -> finish(x, a));
    }

    private void finish(Exchange x, RunnerAnswer a) {
        end(a);
        FaultState f = faults;
        boolean cut = f.cut.hits(f.settings.cutAnswers());
        long lateMs = f.late.hits(f.settings.lateAnswers()) ? LATE_ANSWER_MS : 0;
        Promise.value(a).defer(Duration.ofMillis(lateMs)).then(b -> send(x, b, cut));
    }

    private static void send(Exchange x, RunnerAnswer a, boolean cut) throws IOException {
        if (cut) {
            x.cut(a);
            return;
        }
        x.setHeader("X-Request-Id", a.requestId());
        x.answer(OK, a);
    }

    /** Waits until no freeze is in force. */
    private Promise<Boolean> thaw() {
        long leftMs = faults.frozenUntilMs - clock.nowMs();
        if (leftMs <= 0) {
            return Promise.value(true);
        }
        return Promise.value(true).defer(Duration.ofMillis(leftMs)).flatMap(t -> thaw());
    }

    private void awaitSlot(Downstream<? super Boolean> admitted) {
        boolean free;
        synchronized (this) {
            free = inUse < slots;
            if (!free && waiting.size() < connections) {
                waiting.addLast(admitted);
                return;
            }
            inUse += free ? 1 : 0;
        }
        // Completed outside the lock, because dependents may run at once.
        admitted.success(free);
    }

    private synchronized int start(String workspace, String id) {
        int run = runs.merge(List.of(workspace, id), 1, Integer::sum);
        history.append(new HistoryEvent.RequestStarted(workspace, id, run));
        return run;
    }

    private void end(RunnerAnswer a) {
        Optional<Downstream<? super Boolean>> next;
        synchronized (this) {
            history.append(new HistoryEvent.RequestEnded(a.workspace(), a.requestId(), a.runs()));
            next = Optional.ofNullable(waiting.pollFirst());
            if (next.isEmpty()) {
                inUse--;
            }
        }
        next.ifPresent(d -> d.success(true));
    }

    /** Faults in force with the choices that they draw from. Safe for use by many threads. */
    private static final class FaultState {
        private final RunnerFaults settings;
        private final long frozenUntilMs;
        private final Dice cut;
        private final Dice late;

        FaultState(RunnerFaults settings, long frozenUntilMs) {
            this.settings = settings;
            this.frozenUntilMs = frozenUntilMs;
            cut = new Dice(settings.seed());
            late = new Dice(~settings.seed());
        }
    }
}
