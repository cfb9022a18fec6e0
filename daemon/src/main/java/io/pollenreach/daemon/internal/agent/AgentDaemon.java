package io.pollenreach.daemon.internal.agent;

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
import io.pollenreach.daemon.internal.process.WorkThread;
import io.pollenreach.daemon.internal.rpc.RpcThreads;
import io.pollenreach.daemon.internal.services.HttpTaskRuntime;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.daemon.internal.settings.ReloadableDaemon;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.TargetKind;

/**
 * The program {@code agent}: one process beside each target.
 *
 * <p>Safe for use by many threads.
 *
 * <pre>{@code
 * try (AgentDaemon agent = AgentDaemon.start(settings, Clock.system())) {
 *     awaitTermination();
 * }
 * }</pre>
 */
public final class AgentDaemon implements ReloadableDaemon<AgentSettings> {
    private static final int RPC_THREADS = 1;
    private static final int HTTP_THREADS = 1;

    private final WorkThread timer = new WorkThread("agent");
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final RpcThreads threads = new RpcThreads(RPC_THREADS);
    private final HttpCaller http;
    private AgentNode node;
    private AdminServer admin;

    private AgentDaemon(AgentSettings settings) throws Exception {
        http = new HttpCaller(HTTP_THREADS, Math.max(1, settings.connections()));
    }

    /**
     * Starts an agent; its calls and periodic work run on threads of its own.
     *
     * @param settings the agent's settings
     * @param clock the clock of all leases and timeouts
     * @return the running agent; fails with {@code OUT_OF_RANGE} when an address cannot be used
     */
    public static AgentDaemon start(AgentSettings settings, Clock clock) {
        AgentDaemon agent;
        try {
            agent = new AgentDaemon(settings);
        } catch (Exception e) {
            throw new PollenreachException(ResultCode.INTERNAL, null, "the agent did not start", e);
        }
        try {
            agent.open(settings, clock);
        } catch (RuntimeException e) {
            agent.closeResources();
            throw e;
        }
        return agent;
    }

    private void open(AgentSettings settings, Clock clock) {
        node = startNode(settings, clock);
        registerMetrics();
        admin = AdminServer.start(settings.httpAddress(), metrics, this::ready, chain -> {});
    }

    private AgentNode startNode(AgentSettings settings, Clock clock) {
        if (settings.kind() == TargetKind.RUNNER) {
            return AgentNode.startRunner(settings, http::call, clock, threads, timer);
        }
        HttpTaskRuntime runtime = new HttpTaskRuntime(http, settings.targetUri(), AgentTimes.RUNTIME_TIMEOUT_MS);
        return AgentNode.startWorker(settings, runtime, clock, threads, timer);
    }

    private boolean ready() {
        return node.ready() && !closed.get();
    }

    private void registerMetrics() {
        gauge("pollenreach_agent_in_use", "Accelerators or slots in use", Load::inUse);
        gauge("pollenreach_agent_queued", "Requests that wait for a slot", Load::queued);
        gauge("pollenreach_agent_mean_service_ms", "Smoothed service time in milliseconds", Load::meanServiceMs);
        gauge("pollenreach_agent_recent_failures", "Failures in the last minute", Load::recentFailures);
        Gauge.builder("pollenreach_config_version", node.home(), HomeLink::configVersion)
                .description("Configuration version in force")
                .register(metrics);
        Gauge.builder("pollenreach_agent_entries_silence_ms", node.home(), HomeLink::sinceLastContactMs)
                .description("Milliseconds since the last heartbeat that an entry answered")
                .register(metrics);
        FunctionCounter.builder("pollenreach_rpc_received_bytes", node, AgentNode::bytesReceived)
                .description("Bytes received from other processes")
                .register(metrics);
        FunctionCounter.builder("pollenreach_rpc_sent_bytes", node, AgentNode::bytesSent)
                .description("Bytes sent to other processes")
                .register(metrics);
    }

    private void gauge(String name, String description, ToDoubleFunction<Load> value) {
        Gauge.builder(name, node, n -> value.applyAsDouble(n.load()))
                .description(description)
                .register(metrics);
    }

    /** Returns the address at which the agent listens for other processes, as {@code ip:port}. */
    public String address() {
        return node.address();
    }

    /** Returns the port of the HTTP server that serves readiness and metrics. */
    public int httpPort() {
        return admin.port();
    }

    @Override
    public void reload(AgentSettings settings) {
        node.reload(settings);
    }

    /** Drains the target, waiting for work in flight up to the drain timeout, announces its departure, and stops. */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            node.drain();
            closeResources();
        }
    }

    private void closeResources() {
        timer.shutdownNow();
        if (admin != null) {
            admin.close();
        }
        if (node != null) {
            node.close();
        }
        threads.close();
        http.close();
    }
}
