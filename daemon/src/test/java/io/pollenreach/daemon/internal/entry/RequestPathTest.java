package io.pollenreach.daemon.internal.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.ManualClock;
import io.pollenreach.ResultCode;
import io.pollenreach.Workspace;
import io.pollenreach.daemon.internal.services.Write;
import io.pollenreach.internal.claims.ClaimRow;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.membership.TargetTable;
import io.pollenreach.internal.routing.LoadRouter;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Outcome;
import io.pollenreach.internal.wire.OutcomeQuery;
import io.pollenreach.internal.wire.PeerState;
import io.pollenreach.internal.wire.TargetInfo;
import io.pollenreach.internal.wire.TargetKind;
import io.pollenreach.internal.wire.TombstoneReply;
import io.pollenreach.internal.wire.TombstoneRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Drives the request path of an entry against a fake runner's agent, fake peers and a fake table. */
class RequestPathTest {
    private static final String PEER = "10.0.0.2:1";
    private static final String RUNNER = "10.0.0.9:1";
    private static final String OTHER_RUNNER = "10.0.0.8:1";
    private static final long LONG_MS = 60_000;

    private final FakeTable table = new FakeTable();
    private final FakeRpc rpc = new FakeRpc();
    private final ManualClock clock = new ManualClock();
    private final Blackboard board = new Blackboard(new EntryView("10.0.0.1:1", "setubal", 1), clock);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final ClaimedSender claimed = new ClaimedSender(board, new ClaimStore(table, null), rpc, clock);
    private final RetryBudget budget = new RetryBudget(0.2, 20);
    private final RequestController requests = new RequestController(
            board,
            new TombstoneReplicator(board, rpc, clock),
            new IdempotentSender(rpc, budget, clock),
            claimed,
            LoadRouter.builder().build(),
            budget,
            "setubal",
            clock,
            timer);

    @BeforeEach
    void declareWorkspaceAndRunner() {
        timer.setRemoveOnCancelPolicy(true);
        JsonNode w = Json.lenient().valueToTree(new Workspace("tejo", List.of(), 8, 1, 2, "hash"));
        table.put(new Write(ConfigSnapshot.TABLE, ConfigSnapshot.WORKSPACE + "tejo", 0, w))
                .join();
        board.config().apply(table.list(ConfigSnapshot.TABLE, "", 0).join());
        announceRunner(8);
    }

    @AfterEach
    void stopTimer() {
        timer.shutdownNow();
    }

    @Test
    void copyOfRequestUnderWayGetsTheSameAnswerAndIsSentOnce() {
        CompletableFuture<Message> open = new CompletableFuture<>();
        rpc.answer((a, m) -> open);
        CompletableFuture<RunnerResponse> first = requests.handle(request("1", true, LONG_MS));
        CompletableFuture<RunnerResponse> copy = requests.handle(request("1", true, LONG_MS));
        open.complete(executed("1", Outcome.ANSWERED));
        assertThat(first.join()).isEqualTo(copy.join());
        assertThat(rpc.calls(Execute.class)).hasSize(1);
    }

    @Test
    void timersOfAnsweredRequestAreDropped() {
        rpc.answer((a, m) -> FakeRpc.done(executed("1", Outcome.ANSWERED)));
        requests.handle(request("1", true, LONG_MS)).join();
        assertThat(timer.getQueue()).isEmpty();
    }

    @Test
    void answerToAnotherRequestIsNotPassedOn() {
        rpc.answer((a, m) -> FakeRpc.done(executed("2", Outcome.ANSWERED)));
        assertFails(requests.handle(request("1", true, LONG_MS)), ResultCode.ANSWER_CUT);
    }

    @Test
    void requestThatNoRunnerTookIsNotRunOnceEveryEntryBuriedIt() {
        peerAnswers(true);
        announceRunner(0);
        assertFails(requests.handle(request("1", true, 0)), ResultCode.NOT_RUN);
        assertThat(rpc.calls(TombstoneRequest.class)).hasSize(1);
    }

    @Test
    void lateCopyOfRefusedRequestIsRefusedWithoutBeingSent() {
        peerAnswers(true);
        announceRunner(0);
        assertFails(requests.handle(request("1", true, 0)), ResultCode.NOT_RUN);
        announceRunner(8);
        assertFails(requests.handle(request("1", true, LONG_MS)), ResultCode.NOT_RUN);
        assertThat(rpc.calls(Execute.class)).isEmpty();
    }

    @Test
    void notRunIsNotSaidWhenAPeerHasStartedIt() {
        peerAnswers(false);
        announceRunner(0);
        assertFails(requests.handle(request("1", true, 0)), ResultCode.NOT_ADMITTED);
    }

    @Test
    void notRunIsNotSaidWhenAnEntryIsLostWhileItIsBuried() {
        peerAnswers(true);
        rpc.answer((a, m) -> {
            clock.advanceMs(EntryView.ENTRY_SILENCE_MS);
            return FakeRpc.done(new TombstoneReply(true));
        });
        announceRunner(0);
        assertFails(requests.handle(request("1", true, 0)), ResultCode.NOT_ADMITTED);
    }

    @Test
    void entryThatHasNotJoinedBuriesNothing() {
        PeerHandler starting = new PeerHandler(board, null, null, null, null, () -> false);
        assertThatThrownBy(
                        () -> starting.handle(new TombstoneRequest("1", "tejo")).join())
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(ResultCode.NOT_READY));
    }

    @Test
    void entryLearnsFromItsPeerThatOneWasLost() {
        ConfigController config = new ConfigController(board, table, null, rpc, clock, () -> {});
        clock.advanceMs(10_000);
        rpc.answer((a, m) -> FakeRpc.done(new PeerState(0, null, List.of(), 4_000L)));
        config.pull(PEER).join();
        assertThat(board.entries().steadySinceMs(clock.nowMs())).isEqualTo(6_000);
    }

    @Test
    void notRunIsNotSaidWhileARunnerMayHaveIt() {
        rpc.answer((a, m) -> new CompletableFuture<>());
        assertFails(requests.handle(request("1", true, 200)), ResultCode.DEADLINE_PASSED);
    }

    @Test
    void claimOfAnotherEntryIsAskedAboutAndNotSentAgain() {
        rpc.answer((a, m) -> FakeRpc.done(executed("1", Outcome.ANSWERED)));
        requests.handle(request("1", false, LONG_MS)).join();
        assertThat(requests.handle(request("1", false, LONG_MS)).join().body())
                .isEqualTo("answer".getBytes(StandardCharsets.UTF_8));
        assertThat(rpc.calls(Execute.class)).hasSize(1);
    }

    @Test
    void openClaimOfAnotherEntryIsAskedAboutAndNeverSentFromHere() {
        CallerRequest r = request("1", false, LONG_MS);
        ClaimRow theirs = ClaimRow.create("1", "tejo", r.digest(), "r1", "10.0.0.9:1", 1, "their-nonce");
        new ClaimStore(table, null).create(theirs).join();
        rpc.answer((a, m) -> FakeRpc.done(executed("1", Outcome.ANSWERED)));
        requests.handle(r).join();
        assertThat(rpc.calls(OutcomeQuery.class)).hasSize(1);
        assertThat(rpc.calls(Execute.class)).isEmpty();
    }

    @Test
    void lostAnswerOfTheClaimDoesNotRunTheRequestTwice() {
        rpc.answer((a, m) -> FakeRpc.done(executed("1", Outcome.ANSWERED)));
        table.loseAnswers(1);
        requests.handle(request("1", false, LONG_MS)).join();
        assertThat(rpc.calls(Execute.class)).hasSize(1);
    }

    @Test
    void withoutThePlatformNonIdempotentRequestIsRefusedAtOnceAndNeverSent() {
        table.down(true);
        assertFails(requests.handle(request("1", false, LONG_MS)), ResultCode.NOT_RUN);
        assertThat(rpc.calls(Execute.class)).isEmpty();
    }

    @Test
    void brokenSendIsAskedAboutAndGivenUpWhenTheAgentForgot() {
        rpc.answer((a, m) -> m instanceof OutcomeQuery
                ? FakeRpc.done(executed("1", Outcome.UNKNOWN))
                : FakeRpc.failed(ResultCode.PEER_TIMEOUT));
        assertFails(requests.handle(request("1", false, LONG_MS)), ResultCode.OUTCOME_UNKNOWN);
        assertThat(rpc.calls(Execute.class)).hasSize(1);
    }

    @Test
    void idempotentRequestAtFrozenRunnerIsAnsweredByAnother() {
        announce("r2", OTHER_RUNNER, 8);
        rpc.answer((a, m) ->
                rpc.calls(Execute.class).size() == 1 ? freeze(a) : FakeRpc.done(executed("1", Outcome.ANSWERED)));
        assertThat(requests.handle(request("1", true, LONG_MS)).join().requestId())
                .isEqualTo("1");
        assertThat(rpc.calls(Execute.class)).hasSize(2);
    }

    @Test
    void nonIdempotentRequestAtFrozenRunnerIsNotCopied() {
        announce("r2", OTHER_RUNNER, 8);
        CompletableFuture<Message> open = new CompletableFuture<>();
        rpc.answer((a, m) -> {
            timer.schedule(
                    () -> open.complete(executed("1", Outcome.ANSWERED)),
                    Hedging.HEARTBEAT_CHECK_DELAY_MS + 500,
                    TimeUnit.MILLISECONDS);
            freeze(a);
            return open;
        });
        requests.handle(request("1", false, LONG_MS)).join();
        assertThat(rpc.calls(Execute.class)).hasSize(1);
        // A copy would meet the claim and ask about it, without running anything.
        assertThat(rpc.calls(OutcomeQuery.class)).isEmpty();
    }

    /** The runner that got the request falls silent; the other one goes on. */
    private CompletableFuture<Message> freeze(String address) {
        clock.advanceMs(TargetTable.TARGET_SILENCE_MS);
        if (address.equals(RUNNER)) {
            announce("r2", OTHER_RUNNER, 8);
        } else {
            announceRunner(8);
        }
        return new CompletableFuture<>();
    }

    @Test
    void sameIdWithAnotherBodyIsRefused() {
        rpc.answer((a, m) -> FakeRpc.done(executed("1", Outcome.ANSWERED)));
        requests.handle(request("1", false, LONG_MS)).join();
        CallerRequest changed = new CallerRequest(
                "tejo", "returns", "1", false, "POST", "/credit", "", new byte[] {9}, clock.nowMs() + LONG_MS);
        assertFails(requests.handle(changed), ResultCode.REQUEST_MISMATCH);
    }

    @Test
    void requestsAboveTheWorkspaceLimitAreRefused() {
        announceRunner(0);
        requests.handle(request("1", true, LONG_MS));
        requests.handle(request("2", true, LONG_MS));
        assertFails(requests.handle(request("3", true, LONG_MS)), ResultCode.OVERLOADED);
    }

    private void peerAnswers(boolean neverStarts) {
        board.entries().heard(PEER, "almada", 1, false, clock.nowMs());
        rpc.answer((a, m) -> FakeRpc.done(new TombstoneReply(neverStarts)));
    }

    private long sequence;

    private void announceRunner(int slots) {
        announce("r1", RUNNER, slots);
    }

    private void announce(String id, String address, int slots) {
        sequence++;
        TargetInfo runner = new TargetInfo(
                id, 1, sequence, TargetKind.RUNNER, "returns", "setubal", "k", address, 0, slots, Load.NONE, false);
        board.targets().announced(runner, clock.nowMs());
    }

    private CallerRequest request(String id, boolean idempotent, long deadlineMs) {
        return new CallerRequest(
                "tejo", "returns", id, idempotent, "POST", "/credit", "", new byte[] {1}, clock.nowMs() + deadlineMs);
    }

    private static Executed executed(String id, Outcome outcome) {
        byte[] body = "answer".getBytes(StandardCharsets.UTF_8);
        return new Executed(id, "tejo", outcome, 200, "text/plain", body, "");
    }

    private static void assertFails(CompletableFuture<RunnerResponse> answer, ResultCode code) {
        assertThatThrownBy(answer::join)
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(code));
    }
}
