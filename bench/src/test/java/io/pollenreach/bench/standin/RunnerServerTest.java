package io.pollenreach.bench.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class RunnerServerTest {
    private static final long TIMEOUT_MS = 10_000;
    private static final long SHORT_TIMEOUT_MS = 300;

    private RunnerServer runner;
    private HttpCaller http;

    @BeforeEach
    void start() throws Exception {
        runner = new RunnerServer("127.0.0.1:0", 1, 2);
        http = new HttpCaller(1, 8);
    }

    @AfterEach
    void stop() throws Exception {
        http.close();
        runner.close();
    }

    @Test
    void answersCarryTheirRequestAndTheNumberOfItsRuns() {
        HttpClientResponse first =
                post("r1", "{\"workMs\":5,\"echo\":\"hello\"}", TIMEOUT_MS).join();
        assertThat(first.requestId()).isEqualTo("r1");
        assertThat(answer(first)).isEqualTo(new RunnerAnswer("r1", "shop-a", "hello", 1));
        assertThat(answer(post("r1", "plain text", TIMEOUT_MS).join()))
                .isEqualTo(new RunnerAnswer("r1", "shop-a", "plain text", 2));
        assertThat(runner.history(0).entries().stream().map(HistoryEntry::event).collect(Collectors.toList()))
                .containsExactly(
                        new HistoryEvent.RequestStarted("shop-a", "r1", 1),
                        new HistoryEvent.RequestEnded("shop-a", "r1", 1),
                        new HistoryEvent.RequestStarted("shop-a", "r1", 2),
                        new HistoryEvent.RequestEnded("shop-a", "r1", 2));
    }

    @Test
    void requestsAboveSlotsAndConnectionsAreRefusedAndDoNotRun() {
        List<CompletableFuture<HttpClientResponse>> replies = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            replies.add(post("r" + i, "{\"workMs\":300}", TIMEOUT_MS));
        }
        List<Integer> statuses = replies.stream().map(r -> r.join().status()).collect(Collectors.toList());
        assertThat(statuses).containsOnly(200, 503);
        assertThat(statuses.stream().filter(s -> s == 503)).hasSize(2);
        assertThat(runner.history(0).entries()).hasSize(6);
    }

    @Test
    void cutAndLateAnswersFailAtTheCallerAfterTheWorkIsDone() {
        runner.setFaults(new RunnerFaults(0, 100, 0, 0, 1));
        assertThat(code(post("cut", "{}", TIMEOUT_MS))).isEqualTo(ResultCode.PEER_TIMEOUT);
        runner.setFaults(new RunnerFaults(0, 0, 100, 0, 1));
        assertThat(code(post("late", "{}", SHORT_TIMEOUT_MS))).isEqualTo(ResultCode.PEER_TIMEOUT);
        assertThat(runner.history(0).entries().stream().map(HistoryEntry::event))
                .contains(
                        new HistoryEvent.RequestEnded("shop-a", "cut", 1),
                        new HistoryEvent.RequestEnded("shop-a", "late", 1));
    }

    @Test
    void frozenRunnerStartsNothing() {
        runner.setFaults(new RunnerFaults(0, 0, 0, 60_000, 1));
        assertThat(code(post("r1", "{}", SHORT_TIMEOUT_MS))).isEqualTo(ResultCode.PEER_TIMEOUT);
        assertThat(runner.history(0).entries()).hasSize(1);
    }

    private CompletableFuture<HttpClientResponse> post(String id, String body, long timeoutMs) {
        Map<String, String> headers = Map.of("X-Request-Id", id, "X-Workspace", "shop-a");
        URI uri = URI.create("http://" + runner.address() + "/fit");
        return http.call("POST", uri, headers, body.getBytes(StandardCharsets.UTF_8), timeoutMs);
    }

    private static RunnerAnswer answer(HttpClientResponse reply) {
        return Exchange.parse(reply.body(), RunnerAnswer.class);
    }

    private static ResultCode code(CompletableFuture<?> future) {
        return future.handle((v, t) ->
                        t == null ? ResultCode.OK : PollenreachException.of(t).code())
                .join();
    }
}
