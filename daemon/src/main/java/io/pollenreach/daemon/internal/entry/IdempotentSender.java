package io.pollenreach.daemon.internal.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.routing.RunnerView;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Outcome;

/**
 * Sends requests that may run more than once.
 *
 * <p>Invariants: a response is passed on only when it names the request that was sent; a request is sent again only
 * within the retry budget, unless the last runner refused it or could not be reached. Safe for use by many threads.
 */
final class IdempotentSender implements RequestController.Sender {
    private static final int MAX_SENDS = 4;

    private static final Events EVENTS = Events.of(IdempotentSender.class);

    private final Rpc rpc;
    private final Clock clock;
    private final RetryBudget budget;

    IdempotentSender(Rpc rpc, RetryBudget budget, Clock clock) {
        this.rpc = rpc;
        this.budget = budget;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Optional<RunnerResponse>> send(PendingRequest pending, RunnerView runner) {
        CallerRequest r = pending.request();
        if (pending.sends() == 1) {
            budget.record();
        }
        long left = Math.max(1, r.deadlineAtMs() - clock.nowMs());
        Execute message =
                new Execute(r.id(), r.workspace(), true, r.method(), r.path(), r.contentType(), r.body(), left);
        return rpc.call(runner.address(), message, Executed.class, left)
                .handle((e, t) -> t == null ? answered(pending, runner, e) : failed(pending, runner, t));
    }

    private Optional<RunnerResponse> answered(PendingRequest pending, RunnerView runner, Executed e) {
        CallerRequest r = pending.request();
        if (!e.requestId().equals(r.id()) || !e.workspace().equals(r.workspace())) {
            throw new PollenreachException(ResultCode.ANSWER_CUT, runner.id() + " answered another request");
        }
        if (e.outcome() == Outcome.ANSWERED) {
            return Optional.of(RunnerResponse.of(e, runner.id()));
        }
        if (e.outcome() == Outcome.REFUSED) {
            pending.recordUnseenSend();
        }
        return again(pending, runner, e.outcome() == Outcome.REFUSED, e.outcome() + " " + e.detail());
    }

    private Optional<RunnerResponse> failed(PendingRequest pending, RunnerView runner, Throwable t) {
        PollenreachException e = PollenreachException.of(t);
        boolean unseen = e.code() == ResultCode.PEER_UNREACHABLE;
        if (unseen) {
            pending.recordUnseenSend();
        }
        return again(pending, runner, unseen, e.code().number() + " " + e.getMessage());
    }

    private Optional<RunnerResponse> again(PendingRequest pending, RunnerView runner, boolean unseen, String why) {
        boolean inTime = clock.nowMs() < pending.request().deadlineAtMs();
        boolean more = pending.sends() < MAX_SENDS && (unseen || budget.tryAcquire());
        EVENTS.info(
                "retry",
                "request",
                pending.request().key(),
                "runner",
                runner.id(),
                "again",
                more && inTime,
                "reason",
                why);
        if (more || !pending.mayHaveRun()) {
            return Optional.empty();
        }
        throw new PollenreachException(inTime ? ResultCode.TARGET_FAILED : ResultCode.DEADLINE_PASSED, why);
    }
}
