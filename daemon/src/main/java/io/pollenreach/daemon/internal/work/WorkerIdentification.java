package io.pollenreach.daemon.internal.work;

import java.util.Optional;
import java.util.function.Consumer;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;

/**
 * Confirms that a process that announces itself as the worker is the one at the worker's address.
 *
 * <p>A heartbeat alone proves nothing: it may be late, or another writer's, and giving up the worker for it would start
 * the worker's runs elsewhere while they still run here. Invariant: one question is under way at a time, about the
 * newest process that announced itself. For use by the agent's thread.
 */
final class WorkerIdentification {
    /** How often one announcement is followed up if no process answers; a process that is up announces itself again. */
    private static final int MAX_ATTEMPTS = 10;

    private static final Events EVENTS = Events.of(WorkerIdentification.class);

    private final TaskRunner runner;
    private final AgentContext context;
    private final Consumer<WorkerInfo> identified;
    /** The newest process that announced itself and has not been confirmed; null for none. */
    private WorkerInfo candidate;

    private boolean started;
    private boolean asking;
    private int attempts;
    private long token;

    /**
     * Creates an identification that asks nothing yet.
     *
     * @param runner the worker's interface
     * @param context the agent
     * @param identified takes a process that has confirmed its announcement
     */
    WorkerIdentification(TaskRunner runner, AgentContext context, Consumer<WorkerInfo> identified) {
        this.runner = runner;
        this.context = context;
        this.identified = identified;
    }

    /**
     * Starts to ask, once it is known which worker an earlier process of the agent had.
     *
     * @param newestToken no fencing token that the worker has seen is newer
     * @return the process that announced itself meanwhile; it has to be announced again
     */
    Optional<WorkerInfo> start(long newestToken) {
        started = true;
        token = newestToken;
        Optional<WorkerInfo> announced = Optional.ofNullable(candidate);
        candidate = null;
        return announced;
    }

    /** Records the fencing token that the worker sees from now on. */
    void setToken(long newestToken) {
        token = newestToken;
    }

    /** Takes the announcement of a process that is not the known worker. */
    void announce(WorkerInfo process) {
        candidate = process;
        attempts = 0;
        ask();
    }

    private void ask() {
        if (!started || asking || candidate == null) {
            return;
        }
        asking = true;
        attempts++;
        WorkerInfo asked = candidate;
        runner.identify(new TaskRunner.Authority(asked.instance(), asked.bornMs(), token))
                .whenComplete((v, t) -> context.execute(() -> answered(asked, t)));
    }

    private void answered(WorkerInfo asked, Throwable t) {
        asking = false;
        if (candidate == null || !candidate.sameProcess(asked)) {
            ask();
            return;
        }
        if (t == null) {
            WorkerInfo confirmed = candidate;
            candidate = null;
            identified.accept(confirmed);
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        EVENTS.failure("worker-unconfirmed", "instance", asked.instance(), e);
        if (e.code() == ResultCode.NOT_FOUND || attempts == MAX_ATTEMPTS) {
            candidate = null;
        } else {
            context.later(this::ask);
        }
    }
}
