package io.pollenreach.daemon.internal.entry;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.ClaimStore.Claim;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.internal.claims.ClaimDecision;
import io.pollenreach.internal.claims.ClaimRow;
import io.pollenreach.internal.claims.RequestTable;
import io.pollenreach.internal.routing.RunnerView;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.OutcomeQuery;
import io.pollenreach.internal.wire.TargetInfo;

/**
 * Sends requests that must run at most once, each under a claim in the table service.
 *
 * <p>Invariants: nothing is sent before the claim's row exists; a request is sent only to the target and incarnation
 * that the row names; an outcome that cannot be determined is reported as unknown. Safe for use by many threads.
 */
final class ClaimedSender implements RequestController.Sender {
    private static final long PAUSE_MS = 100;
    private static final long INQUIRE_TIMEOUT_MS = 1_000;

    private static final Events EVENTS = Events.of(ClaimedSender.class);

    private final Blackboard board;
    private final ClaimStore claims;
    private final Rpc rpc;
    private final Clock clock;

    ClaimedSender(Blackboard board, ClaimStore claims, Rpc rpc, Clock clock) {
        this.board = board;
        this.claims = claims;
        this.rpc = rpc;
        this.clock = clock;
    }

    /** State of one pass through the claim protocol. Confined to the stages of one future. */
    private static final class Run {
        private final PendingRequest pending;
        private final ClaimRow mine;
        private boolean sent;

        Run(PendingRequest pending, ClaimRow mine) {
            this.pending = pending;
            this.mine = mine;
        }
    }

    @Override
    public CompletableFuture<Optional<RunnerResponse>> send(PendingRequest pending, RunnerView runner) {
        CallerRequest r = pending.request();
        Optional<TargetInfo> target = board.targets().find(runner.id());
        if (target.isEmpty()) {
            pending.recordUnseenSend();
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ClaimRow row = ClaimRow.create(
                r.id(),
                r.workspace(),
                pending.digest(),
                runner.id(),
                runner.address(),
                target.get().incarnation(),
                UUID.randomUUID().toString());
        return claim(new Run(pending, row));
    }

    private CompletableFuture<Optional<RunnerResponse>> claim(Run run) {
        return claims.create(run.mine)
                .handle((claim, t) -> t == null ? execute(run, claim) : notCreated(run, PollenreachException.of(t)))
                .thenCompose(f -> f);
    }

    private CompletableFuture<Optional<RunnerResponse>> notCreated(Run run, PollenreachException e) {
        switch (e.code()) {
            case CONFLICT:
            case WRITE_UNKNOWN:
                return readBack(run);
            default:
                return notClaimed(run, e);
        }
    }

    /** Nothing may be sent without a claim, so this pass has not run the request. */
    private CompletableFuture<Optional<RunnerResponse>> notClaimed(Run run, PollenreachException e) {
        if (inTime(run) && e.code() == ResultCode.WRITE_UNKNOWN) {
            return later().thenCompose(v -> readBack(run));
        }
        EVENTS.warn("claim-failed", "request", run.mine.key(), "code", e.code().number(), "detail", e.getMessage());
        // With retries forbidden the request is refused at once instead of waiting for the platform.
        run.pending.recordUnseenSend();
        run.pending.forbidRetries();
        return CompletableFuture.completedFuture(Optional.empty());
    }

    private CompletableFuture<Optional<RunnerResponse>> readBack(Run run) {
        return claims.read(run.mine.key())
                .handle((found, t) -> {
                    if (t != null) {
                        PollenreachException e = new PollenreachException(
                                ResultCode.WRITE_UNKNOWN, null, String.valueOf(t.getMessage()), t);
                        return notClaimed(run, e);
                    }
                    return decide(run, found);
                })
                .thenCompose(f -> f);
    }

    private CompletableFuture<Optional<RunnerResponse>> decide(Run run, Optional<Claim> found) {
        ClaimDecision decision =
                ClaimDecision.onRow(found.map(Claim::row), run.pending.digest(), run.mine.nonce(), run.sent);
        EVENTS.info("claim", "request", run.mine.key(), "decision", decision);
        switch (decision) {
            case CLAIM:
                return claim(run);
            case SEND:
                return execute(run, found.orElseThrow());
            case ANSWER:
                return claims.answer(found.orElseThrow().row()).thenApply(Optional::of);
            case INQUIRE:
                return inquire(run, found.orElseThrow());
            default:
                return failed(decision, "claim of " + run.mine.key());
        }
    }

    private CompletableFuture<Optional<RunnerResponse>> execute(Run run, Claim claim) {
        CallerRequest r = run.pending.request();
        if (!run.sent && clock.nowMs() >= r.deadlineAtMs()) {
            // The caller may already have been told that the request did not run.
            run.pending.recordUnseenSend();
            run.pending.forbidRetries();
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long left = Math.max(1, r.deadlineAtMs() - clock.nowMs());
        Execute message = new Execute(
                r.id(),
                r.workspace(),
                false,
                r.method(),
                r.path(),
                r.contentType(),
                r.body(),
                left,
                claim.row().targetIncarnation());
        run.sent = true;
        return rpc.call(claim.row().targetAddress(), message, Executed.class, left)
                .handle((e, t) -> t == null ? outcome(run, claim, e) : askAgain(run, claim))
                .thenCompose(f -> f);
    }

    private CompletableFuture<Optional<RunnerResponse>> askAgain(Run run, Claim claim) {
        if (!inTime(run)) {
            return failed(ClaimDecision.GIVE_UP_UNKNOWN, claim.row().target() + " did not answer in time");
        }
        return later().thenCompose(v -> inquire(run, claim));
    }

    private CompletableFuture<Optional<RunnerResponse>> inquire(Run run, Claim claim) {
        ClaimRow row = claim.row();
        OutcomeQuery message = new OutcomeQuery(row.requestId(), row.workspace(), row.targetIncarnation());
        return rpc.call(row.targetAddress(), message, Executed.class, INQUIRE_TIMEOUT_MS)
                .handle((e, t) -> t == null ? outcome(run, claim, e) : askAgain(run, claim))
                .thenCompose(f -> f);
    }

    private CompletableFuture<Optional<RunnerResponse>> outcome(Run run, Claim claim, Executed e) {
        ClaimRow row = claim.row();
        if (!e.requestId().equals(row.requestId()) || !e.workspace().equals(row.workspace())) {
            return failed(ClaimDecision.GIVE_UP_UNKNOWN, row.target() + " answered another request");
        }
        ClaimDecision decision = ClaimDecision.onOutcome(e.outcome());
        switch (decision) {
            case ANSWER:
                record("answered", row, claims.recordAnswer(claim, e));
                return CompletableFuture.completedFuture(Optional.of(RunnerResponse.of(e, row.target())));
            case REFUSE:
                return refuse(claim, e.detail());
            case INQUIRE:
                return askAgain(run, claim);
            case SEND:
                return inTime(run) ? execute(run, claim) : askAgain(run, claim);
            default:
                record("unknown", row, claims.update(claim, row.unknown()));
                return failed(decision, e.detail());
        }
    }

    /** Records the refusal in the claim's row, which makes it final for every copy of the request. */
    private CompletableFuture<Optional<RunnerResponse>> refuse(Claim claim, String why) {
        return claims.update(claim, claim.row().refused()).handle((c, t) -> {
            ResultCode code = t == null ? ResultCode.NOT_RUN : ResultCode.NOT_ADMITTED;
            throw new PollenreachException(code, why);
        });
    }

    private static void record(String what, ClaimRow row, CompletableFuture<Claim> write) {
        write.whenComplete((c, t) -> {
            if (t != null) {
                PollenreachException e = PollenreachException.of(t);
                EVENTS.warn(
                        "claim-not-recorded",
                        "request",
                        row.key(),
                        "outcome",
                        what,
                        "code",
                        e.code().number());
            }
        });
    }

    private static CompletableFuture<Optional<RunnerResponse>> failed(ClaimDecision decision, String why) {
        return CompletableFuture.failedFuture(new PollenreachException(codeOf(decision), why));
    }

    private static ResultCode codeOf(ClaimDecision decision) {
        switch (decision) {
            case REFUSE:
                return ResultCode.NOT_RUN;
            case MISMATCH:
                return ResultCode.REQUEST_MISMATCH;
            default:
                return ResultCode.OUTCOME_UNKNOWN;
        }
    }

    private boolean inTime(Run run) {
        return clock.nowMs() + PAUSE_MS < run.pending.request().deadlineAtMs();
    }

    private static CompletableFuture<Void> later() {
        Executor pause = CompletableFuture.delayedExecutor(PAUSE_MS, TimeUnit.MILLISECONDS);
        return CompletableFuture.runAsync(() -> {}, pause);
    }

    /** Returns the outcome of a request from its claim or, while the claim has no outcome, from the target. */
    CompletableFuture<RunnerResponse> lookUp(String workspace, String requestId) {
        return claims.read(RequestTable.key(workspace, requestId))
                .thenCompose(found -> found.isEmpty() ? notFound(requestId) : lookUp(found.get()));
    }

    private static CompletableFuture<RunnerResponse> notFound(String requestId) {
        return CompletableFuture.failedFuture(
                new PollenreachException(ResultCode.NOT_FOUND, "Request-Id", "no claim for request " + requestId));
    }

    private CompletableFuture<RunnerResponse> lookUp(Claim claim) {
        ClaimRow row = claim.row();
        switch (row.state()) {
            case ANSWERED:
                return claims.answer(row);
            case REFUSED:
                return failedAnswer(ResultCode.NOT_RUN, row);
            case UNKNOWN:
                return failedAnswer(ResultCode.OUTCOME_UNKNOWN, row);
            default:
                return askTarget(claim);
        }
    }

    private CompletableFuture<RunnerResponse> askTarget(Claim claim) {
        ClaimRow row = claim.row();
        OutcomeQuery message = new OutcomeQuery(row.requestId(), row.workspace(), row.targetIncarnation());
        return rpc.call(row.targetAddress(), message, Executed.class, INQUIRE_TIMEOUT_MS)
                .thenCompose(e -> {
                    switch (ClaimDecision.onOutcome(e.outcome())) {
                        case ANSWER:
                            record("answered", row, claims.recordAnswer(claim, e));
                            return CompletableFuture.completedFuture(RunnerResponse.of(e, row.target()));
                        case REFUSE:
                            return failedAnswer(ResultCode.NOT_RUN, row);
                        case GIVE_UP_UNKNOWN:
                            record("unknown", row, claims.update(claim, row.unknown()));
                            return failedAnswer(ResultCode.OUTCOME_UNKNOWN, row);
                        default:
                            return failedAnswer(ResultCode.IN_PROGRESS, row);
                    }
                });
    }

    private static CompletableFuture<RunnerResponse> failedAnswer(ResultCode code, ClaimRow row) {
        return CompletableFuture.failedFuture(new PollenreachException(code, "claimed for " + row.target()));
    }
}
