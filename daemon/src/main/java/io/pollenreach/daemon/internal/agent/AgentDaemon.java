package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.AdminServer;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.platform.HttpTaskRuntime;
import io.pollenreach.daemon.internal.rpc.RpcNode;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.TargetKind;

/**
 * The program {@code agent}: one process beside each target.
 *
 * <p>Invariant: the agent announces itself only once no task of an earlier agent runs. Safe for use by many threads.
 *
 * <pre>{@code
 * try (AgentDaemon agent = AgentDaemon.start(settings, Clock.system())) {
 *     awaitTermination();
 * }
 * }</pre>
 */
public final class AgentDaemon implements AutoCloseable {
    private static final Events EVENTS = Events.of(AgentDaemon.class);
    private static final int RPC_THREADS = 1;
    private static final int HTTP_THREADS = 1;
    /** How long the last heartbeat and the stop of tasks may take on a shutdown, in milliseconds. */
    private static final long LEAVE_TIMEOUT_MS = 2_000;

    private final AgentSettings settings;
    private final ScheduledThreadPoolExecutor timer;
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final HttpCaller http;
    private final RpcNode rpc;
    private final TargetAgent target;
    private final HomeLink home;
    private AdminServer admin;

    private AgentDaemon(AgentSettings settings, Clock clock) throws Exception {
        this.settings = settings;
        timer = new ScheduledThreadPoolExecutor(1, AgentDaemon::thread);
        timer.setRemoveOnCancelPolicy(true);
        timer.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        http = new HttpCaller(HTTP_THREADS, Math.max(1, settings.connections()));
        CompletableFuture<TargetAgent> later = new CompletableFuture<>();
        rpc = RpcNode.start(settings.rpcAddress(), m -> handle(later, m), clock, RPC_THREADS);
        target = target(clock);
        home = new HomeLink(settings, rpc.address(), rpc, clock, timer, target);
        target.join(home);
        later.complete(target);
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(work, "agent");
        thread.setDaemon(true);
        return thread;
    }

    private static CompletableFuture<Message> handle(CompletableFuture<TargetAgent> target, Message message) {
        TargetAgent agent = target.getNow(null);
        if (agent == null) {
            throw new PollenreachException(ResultCode.NOT_READY, "the agent is starting");
        }
        return agent.handle(message);
    }

    private TargetAgent target(Clock clock) {
        if (settings.kind() == TargetKind.RUNNER) {
            return new RunnerAgent(settings, http::call, clock);
        }
        HttpTaskRuntime runtime = new HttpTaskRuntime(http, settings.targetUri(), AgentTimes.RUNTIME_TIMEOUT_MS);
        return new WorkerAgent(settings.id(), settings.accelerators(), runtime, rpc, clock);
    }

    /**
     * Starts an agent.
     *
     * @param settings its settings
     * @param clock the clock of all leases and timeouts
     * @return the running agent; fails with {@code OUT_OF_RANGE} when an address cannot be used
     */
    public static AgentDaemon start(AgentSettings settings, Clock clock) {
        AgentDaemon agent;
        try {
            agent = new AgentDaemon(settings, clock);
        } catch (PollenreachException e) {
            throw e;
        } catch (Exception e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "the agent did not start", e);
        }
        try {
            agent.open();
        } catch (RuntimeException e) {
            agent.release();
            throw e;
        }
        return agent;
    }

    private void open() {
        registerMetrics();
        admin = AdminServer.start(settings.httpAddress(), metrics, this::ready, chain -> {});
        every(AgentTimes.TICK_MS, target::tick);
        every(AgentTimes.HEARTBEAT_MS, this::beat);
        EVENTS.info("agent-started", "target", settings.id(), "kind", settings.kind(), "rpc", rpc.address());
    }

    private void every(long periodMs, Runnable work) {
        timer.scheduleWithFixedDelay(() -> guarded(work), 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private static void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            // One failed round must not end the loop that renews leases.
            EVENTS.warn("round-failed", "code", ResultCode.INTERNAL.number(), "why", e);
        }
    }

    private void beat() {
        if (target.ready()) {
            home.beat();
        }
    }

    private boolean ready() {
        return target.ready() && home.connected() && !closed.get();
    }

    private void registerMetrics() {
        gauge("pollenreach_agent_in_use", "Accelerators or slots in use", Load::inUse);
        gauge("pollenreach_agent_queued", "Requests that wait for a slot", Load::queued);
        gauge("pollenreach_agent_mean_service_ms", "Smoothed service time in milliseconds", Load::meanServiceMs);
        gauge("pollenreach_agent_recent_failures", "Failures in the last minute", Load::recentFailures);
        Gauge.builder("pollenreach_config_version", home, HomeLink::configVersion)
                .description("Configuration version in force")
                .register(metrics);
        Gauge.builder("pollenreach_agent_entries_silence_ms", home, HomeLink::silenceMs)
                .description("Milliseconds since the last heartbeat that an entry answered")
                .register(metrics);
        FunctionCounter.builder("pollenreach_rpc_received_bytes", rpc, RpcNode::bytesReceived)
                .description("Bytes received from other processes")
                .register(metrics);
        FunctionCounter.builder("pollenreach_rpc_sent_bytes", rpc, RpcNode::bytesSent)
                .description("Bytes sent to other processes")
                .register(metrics);
    }

    private void gauge(String name, String description, ToDoubleFunction<Load> value) {
        Gauge.builder(name, target, t -> value.applyAsDouble(t.load()))
                .description(description)
                .register(metrics);
    }

    /** Returns where the agent listens for other processes, as {@code ip:port}. */
    public String address() {
        return rpc.address();
    }

    /** Returns the port of the HTTP server. */
    public int httpPort() {
        return admin.port();
    }

    /** Announces that the target leaves, waits for work in flight within the drain timeout, and stops. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        EVENTS.info("agent-draining", "target", settings.id(), "timeoutMs", settings.drainTimeoutMs());
        CompletableFuture<Void> drained = target.drain();
        home.drain();
        if (!await(drained, settings.drainTimeoutMs())) {
            EVENTS.warn("drain-timed-out", "target", settings.id());
            await(target.stopAll(), LEAVE_TIMEOUT_MS);
        }
        await(home.leave(), LEAVE_TIMEOUT_MS);
        release();
        EVENTS.info("agent-stopped", "target", settings.id());
    }

    private static boolean await(CompletableFuture<Void> future, long timeoutMs) {
        return future.thenApply(v -> true)
                .completeOnTimeout(false, timeoutMs, TimeUnit.MILLISECONDS)
                .join();
    }

    private void release() {
        timer.shutdownNow();
        if (admin != null) {
            admin.close();
        }
        rpc.close();
        http.close();
    }
}
