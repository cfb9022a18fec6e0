package io.pollenreach.daemon.internal.agent;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Outcome;
import io.pollenreach.internal.wire.OutcomeQuery;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RunnerGuardTest {
    private static final int SLOTS = 2;
    private static final int CONNECTIONS = 4;
    private static final long DEADLINE_MS = 1_000;

    private final ManualClock clock = new ManualClock();
    private final List<String> started = new ArrayList<>();
    private final List<URI> uris = new ArrayList<>();
    private final List<CompletableFuture<HttpClientResponse>> replies = new ArrayList<>();
    private final RunnerGuard guard = newGuard();

    private RunnerGuard newGuard() {
        AgentSettings settings = new AgentSettings(
                "r1",
                TargetKind.RUNNER,
                "desk",
                "almada",
                "r1",
                "",
                "",
                List.of(),
                "http://127.0.0.1:1",
                0,
                SLOTS,
                CONNECTIONS,
                1_000);
        RunnerCalls calls = (method, uri, headers, body, timeoutMs) -> {
            started.add(headers.get("X-Workspace") + " " + headers.get("X-Request-Id"));
            uris.add(uri);
            CompletableFuture<HttpClientResponse> reply = new CompletableFuture<>();
            replies.add(reply);
            return reply;
        };
        return new RunnerGuard(settings, calls, clock, new FailureWindow(clock));
    }

    private CompletableFuture<Message> execute(String id, boolean idempotent) {
        return guard.execute(
                new Execute(id, "lab-a", idempotent, "POST", "/credit", "text/plain", new byte[] {1}, DEADLINE_MS));
    }

    private void reply(int index, String id, int status, String body) {
        replies.get(index)
                .complete(new HttpClientResponse(status, "text/plain", body.getBytes(StandardCharsets.UTF_8), id));
    }

    private void fail(int index, ResultCode code) {
        replies.get(index).completeExceptionally(new PollenreachException(code, "broken"));
    }

    private static Outcome outcome(CompletableFuture<Message> answer) {
        return ((Executed) answer.getNow(null)).outcome();
    }

    private Outcome inquire(String id) {
        return outcome(guard.queryOutcome(new OutcomeQuery(id, "lab-a")));
    }

    @Test
    void passesTheWholeAnswerOnAndRemembersIt() {
        CompletableFuture<Message> answer = execute("r1", false);
        assertThat(inquire("r1")).isEqualTo(Outcome.RUNNING);
        reply(0, "r1", 200, "12.50");
        assertThat(((Executed) answer.join()).body()).asString().isEqualTo("12.50");
        assertThat(started).containsExactly("lab-a r1");
        assertThat(uris).containsExactly(URI.create("http://127.0.0.1:1/credit"));
        assertThat(inquire("r1")).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void secondCopyJoinsTheFirstAndLaterOnesGetItsAnswer() {
        CompletableFuture<Message> first = execute("r1", false);
        CompletableFuture<Message> second = execute("r1", false);
        reply(0, "r1", 200, "ok");
        assertThat(second.join()).isSameAs(first.join());
        assertThat(execute("r1", false).join()).isSameAs(first.join());
        assertThat(started).hasSize(1);
    }

    @Test
    void answerToAnotherRequestIsUnknown() {
        CompletableFuture<Message> answer = execute("r1", false);
        reply(0, "r2", 200, "someone else's");
        assertThat(outcome(answer)).isEqualTo(Outcome.UNKNOWN);
        assertThat(((Executed) answer.join()).detail()).contains("ANSWER_CUT");
    }

    @Test
    void lateCopyOfARefusedRequestIsRefusedToo() {
        CompletableFuture<Message> refused = execute("r1", false);
        fail(0, ResultCode.PEER_UNREACHABLE);
        assertThat(outcome(refused)).isEqualTo(Outcome.REFUSED);
        clock.advanceMs(AnswerStore.RETENTION_MS - 1);
        assertThat(outcome(execute("r1", false))).isEqualTo(Outcome.REFUSED);
        assertThat(outcome(execute("r1", true))).isEqualTo(Outcome.REFUSED);
        assertThat(started).hasSize(1);
    }

    @Test
    void brokenNonIdempotentRequestIsNeverStartedAgain() {
        CompletableFuture<Message> broken = execute("r1", false);
        fail(0, ResultCode.PEER_TIMEOUT);
        assertThat(outcome(broken)).isEqualTo(Outcome.UNKNOWN);
        assertThat(outcome(execute("r1", false))).isEqualTo(Outcome.UNKNOWN);
        assertThat(started).hasSize(1);
    }

    @Test
    void brokenIdempotentRequestMayRunAgain() {
        execute("r1", true);
        fail(0, ResultCode.PEER_TIMEOUT);
        execute("r1", true);
        assertThat(started).hasSize(2);
    }

    @Test
    void queuesUpToTheConnectionsAndRefusesBeyond() {
        for (int i = 0; i < CONNECTIONS; i++) {
            assertThat(execute("r" + i, false)).isNotDone();
        }
        assertThat(started).hasSize(SLOTS);
        assertThat(outcome(execute("r9", false))).isEqualTo(Outcome.REFUSED);
        reply(0, "r0", 200, "ok");
        assertThat(started).containsExactly("lab-a r0", "lab-a r1", "lab-a r2");
        assertThat(guard.load().inUse()).isEqualTo(SLOTS);
        assertThat(guard.load().queued()).isEqualTo(1);
    }

    @Test
    void queuedRequestIsRefusedAtItsDeadlineAndNeverStarts() {
        execute("r0", false);
        execute("r1", false);
        CompletableFuture<Message> queued = execute("r2", false);
        clock.advanceMs(DEADLINE_MS);
        guard.tick();
        assertThat(outcome(queued)).isEqualTo(Outcome.REFUSED);
        reply(0, "r0", 200, "ok");
        assertThat(started).hasSize(SLOTS);
        assertThat(outcome(execute("r2", false))).isEqualTo(Outcome.REFUSED);
    }

    @Test
    void drainRefusesNewRequestsAndWaitsForAllInFlight() {
        CompletableFuture<Message> running = execute("r0", false);
        execute("r1", false);
        CompletableFuture<Message> queued = execute("r2", false);
        CompletableFuture<Void> drained = guard.drain();
        assertThat(outcome(execute("r3", false))).isEqualTo(Outcome.REFUSED);
        reply(0, "r0", 200, "ok");
        reply(1, "r1", 200, "ok");
        assertThat(drained).isNotDone();
        reply(2, "r2", 200, "ok");
        assertThat(drained).isDone();
        assertThat(outcome(running)).isEqualTo(Outcome.ANSWERED);
        assertThat(outcome(queued)).isEqualTo(Outcome.ANSWERED);
    }

    private CompletableFuture<Message> executeAt(long incarnation, String id) {
        return guard.execute(
                new Execute(id, "lab-a", false, "POST", "/credit", "", new byte[0], DEADLINE_MS, incarnation));
    }

    @Test
    void requestThatWasInquiredAboutBeforeItCameRunsOnce() {
        long incarnation = guard.incarnation();
        OutcomeQuery inquire = new OutcomeQuery("r1", "lab-a", incarnation);
        assertThat(outcome(guard.queryOutcome(inquire))).isEqualTo(Outcome.NEVER_SEEN);
        executeAt(incarnation, "r1");
        executeAt(incarnation, "r1");
        assertThat(outcome(guard.queryOutcome(inquire))).isEqualTo(Outcome.RUNNING);
        assertThat(started).hasSize(1);
    }

    @Test
    void requestOfAnotherIncarnationIsUnknownAndNeverStarts() {
        assertThat(outcome(executeAt(guard.incarnation() + 1, "r1"))).isEqualTo(Outcome.UNKNOWN);
        assertThat(outcome(guard.queryOutcome(new OutcomeQuery("r1", "lab-a", guard.incarnation() + 1))))
                .isEqualTo(Outcome.UNKNOWN);
        assertThat(started).isEmpty();
    }

    @Test
    void copyThatComesAfterItsRequestWasForgottenDoesNotRunAgain() {
        long incarnation = guard.incarnation();
        executeAt(incarnation, "r1");
        reply(0, "r1", 200, "credited");
        clock.advanceMs(AnswerStore.RETENTION_MS);
        assertThat(outcome(executeAt(incarnation, "r1"))).isEqualTo(Outcome.ANSWERED);
        clock.advanceMs(AnswerStore.RETENTION_MS);
        assertThat(outcome(executeAt(incarnation, "r1"))).isEqualTo(Outcome.UNKNOWN);
        assertThat(outcome(guard.queryOutcome(new OutcomeQuery("r1", "lab-a", incarnation))))
                .isEqualTo(Outcome.UNKNOWN);
        assertThat(started).hasSize(1);
        assertThat(guard.incarnation()).isGreaterThan(incarnation);
    }

    @Test
    void burstOfRequestsCannotMakeTheMemoryGrowWithoutBound() {
        long first = guard.incarnation();
        for (int i = 0; i < 2 * AnswerStore.MAX_PER_INCARNATION; i++) {
            executeAt(guard.incarnation(), "r" + i);
            reply(i, "r" + i, 200, "");
        }
        assertThat(outcome(executeAt(first, "r0"))).isEqualTo(Outcome.UNKNOWN);
        assertThat(started).hasSize(2 * AnswerStore.MAX_PER_INCARNATION);
    }

    @Test
    void sameIdInAnotherWorkspaceIsAnotherRequest() {
        execute("r1", false);
        guard.execute(new Execute("r1", "lab-b", false, "POST", "/credit", "", new byte[0], DEADLINE_MS));
        assertThat(started).containsExactly("lab-a r1", "lab-b r1");
    }

    @Test
    void pathThatCouldNameAnotherHostIsRefused() {
        CompletableFuture<Message> answer =
                guard.execute(new Execute("r1", "lab-a", false, "GET", "@10.0.0.1/", "", new byte[0], DEADLINE_MS));
        assertThat(outcome(answer)).isEqualTo(Outcome.REFUSED);
        assertThat(started).isEmpty();
    }

    @Test
    void droppedBodiesLeaveNonIdempotentRequestsKnown() {
        String big = "x".repeat(AnswerStore.MAX_BODY_BYTES - 1);
        execute("r1", false);
        reply(0, "r1", 200, "first");
        execute("r2", true);
        reply(1, "r2", 200, big);
        assertThat(inquire("r1")).isEqualTo(Outcome.UNKNOWN);
        assertThat(outcome(execute("r1", false))).isEqualTo(Outcome.UNKNOWN);
        assertThat(started).hasSize(2);
    }
}
