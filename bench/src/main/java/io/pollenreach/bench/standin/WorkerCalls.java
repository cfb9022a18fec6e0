package io.pollenreach.bench.standin;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.services.PlatformMessages;
import io.pollenreach.daemon.internal.services.TaskStatus;
import ratpack.exec.Promise;

/** The calls to the runtime of one worker. Immutable, so safe for use by many threads. */
final class WorkerCalls {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CALL_SEGMENT = 2;
    private static final int TASK_SEGMENT = 3;
    private static final int ACTION_SEGMENT = 4;
    private static final int MAX_PERCENT = 100;

    private final WorkerRuntime worker;

    WorkerCalls(WorkerRuntime worker) {
        this.worker = worker;
    }

    void handle(Exchange x, byte[] body) throws IOException {
        if ("renew".equals(x.segment(CALL_SEGMENT))) {
            PlatformMessages.Renewal renewal = Exchange.parse(body, PlatformMessages.Renewal.class);
            worker.renew(renewal.tasks(), renewal.leaseMs());
            x.answer(OK);
            return;
        }
        if (!"tasks".equals(x.segment(CALL_SEGMENT))) {
            x.answer(NOT_FOUND);
            return;
        }
        if (x.segment(TASK_SEGMENT).isEmpty()) {
            x.answer(OK, worker.list());
            return;
        }
        act(x, x.segment(TASK_SEGMENT), body);
    }

    private void act(Exchange x, String task, byte[] body) {
        switch (x.segment(ACTION_SEGMENT)) {
            case "":
                PlatformMessages.TaskOrder order = Exchange.parse(body, PlatformMessages.TaskOrder.class);
                boolean created = worker.create(task, order.accelerators(), order.command(), order.leaseMs());
                x.answer(created ? OK : CONFLICT);
                return;
            case "start":
                answer(x, worker.start(task));
                return;
            case "checkpoint":
                answer(x, worker.checkpoint(task));
                return;
            case "throttle":
                throttle(
                        x,
                        task,
                        Exchange.parse(body, PlatformMessages.Throttle.class).percent());
                return;
            case "stop":
                stop(
                        x,
                        task,
                        Exchange.parse(body, PlatformMessages.StopOrder.class).graceMs());
                return;
            default:
                x.answer(NOT_FOUND);
        }
    }

    private void throttle(Exchange x, String task, int percent) {
        if (percent < 1 || percent > MAX_PERCENT) {
            x.answer(BAD_REQUEST);
            return;
        }
        answer(x, worker.throttle(task, percent));
    }

    private void stop(Exchange x, String task, long graceMs) {
        Optional<CompletableFuture<TaskStatus>> ended = worker.stop(task, graceMs);
        if (ended.isEmpty()) {
            x.answer(NOT_FOUND);
            return;
        }
        Promise.<TaskStatus>async(d -> d.accept(ended.get())).then(status -> x.answer(OK, status));
    }

    private static void answer(Exchange x, boolean known) {
        x.answer(known ? OK : NOT_FOUND);
    }
}
