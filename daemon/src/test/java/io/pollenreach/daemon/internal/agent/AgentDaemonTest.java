package io.pollenreach.daemon.internal.agent;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.http.HttpClientResponse;
import io.pollenreach.daemon.internal.rpc.RpcNode;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Ack;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Executed;
import io.pollenreach.internal.wire.Heartbeat;
import io.pollenreach.internal.wire.HeartbeatReply;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Outcome;
import io.pollenreach.internal.wire.TargetKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.exec.Promise;
import ratpack.server.RatpackServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AgentDaemonTest {
    private static final long WAIT_MS = 20_000;

    private final BlockingQueue<Heartbeat> heard = new LinkedBlockingQueue<>();
    private final CountDownLatch atRunner = new CountDownLatch(1);
    private final CompletableFuture<String> answer = new CompletableFuture<>();
    private RpcNode entry;
    private RatpackServer runner;
    private AgentDaemon agent;

    @BeforeEach
    void start() throws Exception {
        entry = RpcNode.start("127.0.0.1:0", this::heartbeat, Clock.system(), 1);
        runner = RatpackServer.start(s -> s.serverConfig(
                        c -> c.port(0).threads(1).development(false))
                .handlers(chain -> chain.all(ctx -> {
                    ctx.getResponse()
                            .getHeaders()
                            .set("X-Request-Id", ctx.getRequest().getHeaders().get("X-Request-Id"));
                    atRunner.countDown();
                    Promise.<String>async(d -> answer.thenAccept(d::success)).then(ctx::render);
                })));
        agent = AgentDaemon.start(settings("127.0.0.1:0"), Clock.system());
    }

    private AgentSettings settings(String rpcAddress) {
        return new AgentSettings(
                "r1",
                TargetKind.RUNNER,
                "desk",
                "evora",
                "rack-1",
                "127.0.0.1:0",
                rpcAddress,
                List.of(entry.address()),
                "http://127.0.0.1:" + runner.getBindPort(),
                0,
                2,
                4,
                WAIT_MS);
    }

    private CompletableFuture<Message> heartbeat(Message message) {
        if (!(message instanceof Heartbeat)) {
            return CompletableFuture.completedFuture(new Ack());
        }
        heard.add((Heartbeat) message);
        List<String> entries = List.of(entry.address());
        return CompletableFuture.completedFuture(new HeartbeatReply(entry.address(), entries, 0, null, List.of()));
    }

    @AfterEach
    void stop() throws Exception {
        answer.complete("late");
        agent.close();
        runner.stop();
        entry.close();
    }

    private CompletableFuture<Message> execute(String id) {
        byte[] body = "drum 7".getBytes(StandardCharsets.UTF_8);
        return entry.call(
                agent.address(),
                new Execute(id, "lab-a", false, "POST", "/credit", "text/plain", body, WAIT_MS),
                WAIT_MS);
    }

    private Heartbeat await(Predicate<Heartbeat> condition) throws Exception {
        Heartbeat h;
        do {
            h = heard.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            assertThat(h).isNotNull();
        } while (!condition.test(h));
        return h;
    }

    @Test
    void announcesItselfAndServesMetrics() throws Exception {
        Heartbeat first = await(h -> true);
        assertThat(first.target().address()).isEqualTo(agent.address());
        assertThat(first.whole()).isTrue();
        await(h -> h.target().sequence() > 1);
        try (HttpCaller http = new HttpCaller(1, 1)) {
            URI base = URI.create("http://127.0.0.1:" + agent.httpPort());
            HttpClientResponse ready = http.call("GET", base.resolve("/ready"), Map.of(), new byte[0], WAIT_MS)
                    .join();
            assertThat(ready.status()).isEqualTo(200);
            HttpClientResponse metrics = http.call("GET", base.resolve("/metrics"), Map.of(), new byte[0], WAIT_MS)
                    .join();
            assertThat(new String(metrics.body(), StandardCharsets.UTF_8))
                    .contains("pollenreach_agent_in_use 0.0", "pollenreach_rpc_sent_bytes_total");
        }
    }

    @Test
    void drainCutsOffNoRequestInFlight() throws Exception {
        CompletableFuture<Message> inFlight = execute("q1");
        assertThat(atRunner.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
        CompletableFuture<Void> closing = CompletableFuture.runAsync(agent::close);
        await(h -> h.target().draining());
        Executed refused = (Executed) execute("q2").get(WAIT_MS, TimeUnit.MILLISECONDS);
        assertThat(refused.outcome()).isEqualTo(Outcome.REFUSED);
        assertThat(closing).isNotDone();
        answer.complete("credited");
        Executed done = (Executed) inFlight.get(WAIT_MS, TimeUnit.MILLISECONDS);
        assertThat(done.outcome()).isEqualTo(Outcome.ANSWERED);
        assertThat(done.body()).asString().isEqualTo("credited");
        closing.get(WAIT_MS, TimeUnit.MILLISECONDS);
        await(Heartbeat::leaving);
    }

    @Test
    void addressInUseIsAClearError() {
        assertThatThrownBy(() -> AgentDaemon.start(settings(agent.address()), Clock.system()))
                .isInstanceOfSatisfying(
                        PollenreachException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.OUT_OF_RANGE));
    }
}
