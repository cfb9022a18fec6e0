package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.rpc.Rpc;
import io.pollenreach.daemon.internal.rpc.RpcNode;
import io.pollenreach.daemon.internal.rpc.RpcThreads;
import io.pollenreach.daemon.internal.services.TaskRuntime;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;

/**
 * An agent without its HTTP server: the target's side, the link to its home entry, and the RPC node that
 * carries their calls.
 *
 * <p>Invariant: the agent announces itself only once no task of an earlier agent runs. Several
 * nodes may share threads. Safe
 * for use by many threads.
 */
public final class AgentNode implements AutoCloseable {
    private static final Events EVENTS = Events.of(AgentNode.class);
    /** How long the last heartbeat, and stopping the remaining tasks, may each take on a shutdown, in milliseconds. */
    private static final long SHUTDOWN_STEP_TIMEOUT_MS = 2_000;

    private volatile AgentSettings settings;
    private final RpcNode rpc;
    private final TargetAgent target;
    private final HomeLink home;
    private final List<ScheduledFuture<?>> periodicWork = new ArrayList<>();

    private AgentNode(
            AgentSettings settings,
            Function<Rpc, TargetAgent> targetFactory,
            Clock clock,
            RpcThreads threads,
            ScheduledExecutorService timer) {
        this.settings = settings;
        CompletableFuture<TargetAgent> startedTarget = new CompletableFuture<>();
        rpc = RpcNode.start(settings.rpcAddress(), m -> handle(startedTarget, m), clock, threads);
        target = targetFactory.apply(rpc);
        home = new HomeLink(settings, rpc.address(), rpc, clock, timer, target);
        target.setHomeLink(home);
        startedTarget.complete(target);
    }

    /**
     * Starts the agent of a worker.
     *
     * @param settings the agent's settings; the HTTP address and the target's address are not used
     * @param runtime the worker's runtime
     * @param clock the clock of all leases and timeouts
     * @param threads the threads that carry the agent's calls
     * @param timer runs the agent's periodic work, which must not block
     * @return the running agent; fails with {@code OUT_OF_RANGE} when the address cannot be used
     */
    public static AgentNode startWorker(
            AgentSettings settings,
            TaskRuntime runtime,
            Clock clock,
            RpcThreads threads,
            ScheduledExecutorService timer) {
        Function<Rpc, TargetAgent> worker =
                rpc -> new WorkerAgent(settings.id(), settings.accelerators(), runtime, rpc, clock);
        return start(settings, worker, clock, threads, timer);
    }

    static AgentNode startRunner(
            AgentSettings settings,
            RunnerCalls calls,
            Clock clock,
            RpcThreads threads,
            ScheduledExecutorService timer) {
        return start(settings, rpc -> new RunnerAgent(settings, calls, clock), clock, threads, timer);
    }

    private static AgentNode start(
            AgentSettings settings,
            Function<Rpc, TargetAgent> targetFactory,
            Clock clock,
            RpcThreads threads,
            ScheduledExecutorService timer) {
        AgentNode node = new AgentNode(settings, targetFactory, clock, threads, timer);
        node.schedule(timer, AgentTimes.TICK_MS, node.target::tick);
        node.schedule(timer, AgentTimes.HEARTBEAT_MS, node::sendHeartbeatWhenReady);
        EVENTS.info("agent-started", "target", settings.id(), "kind", settings.kind(), "rpc", node.address());
        return node;
    }

    private static CompletableFuture<Message> handle(CompletableFuture<TargetAgent> target, Message message) {
        TargetAgent agent = target.getNow(null);
        if (agent == null) {
            throw new PollenreachException(ResultCode.NOT_READY, "the agent is starting");
        }
        return agent.handle(message);
    }

    private void schedule(ScheduledExecutorService timer, long periodMs, Runnable work) {
        periodicWork.add(timer.scheduleWithFixedDelay(() -> logFailure(work), 0, periodMs, TimeUnit.MILLISECONDS));
    }

    private static void logFailure(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            // The executor cancels periodic work that throws; leases would no longer be renewed.
            EVENTS.warn("round-failed", "code", ResultCode.INTERNAL.number(), "why", e);
        }
    }

    private void sendHeartbeatWhenReady() {
        if (target.ready()) {
            home.sendHeartbeat();
        }
    }

    /** Tells whether the target accepts work and its last heartbeat reached an entry. */
    public boolean ready() {
        return target.ready() && home.connected();
    }

    /** Returns the address at which the agent listens for other processes, as {@code ip:port}. */
    public String address() {
        return rpc.address();
    }

    /** Returns the bytes sent to other processes since the start. */
    public long bytesSent() {
        return rpc.bytesSent();
    }

    /** Returns the bytes received from other processes since the start. */
    public long bytesReceived() {
        return rpc.bytesReceived();
    }

    Load load() {
        return target.load();
    }

    HomeLink home() {
        return home;
    }

    /** Puts changed settings in force. */
    void reload(AgentSettings next) {
        settings = next;
        home.reload(next);
    }

    /** Drains the target, waiting for work in flight up to the drain timeout, and announces that the target leaves. */
    void drain() {
        EVENTS.info("agent-draining", "target", settings.id(), "timeoutMs", settings.drainTimeoutMs());
        CompletableFuture<Void> drained = target.drain();
        home.drain();
        if (!await(drained, settings.drainTimeoutMs())) {
            EVENTS.warn("drain-timed-out", "target", settings.id());
            await(target.stopAll(), SHUTDOWN_STEP_TIMEOUT_MS);
        }
        await(home.announceDeparture(), SHUTDOWN_STEP_TIMEOUT_MS);
        EVENTS.info("agent-stopped", "target", settings.id());
    }

    private static boolean await(CompletableFuture<Void> future, long timeoutMs) {
        return future.thenApply(v -> true)
                .completeOnTimeout(false, timeoutMs, TimeUnit.MILLISECONDS)
                .join();
    }

    /** Stops at once, without draining or a last heartbeat, like a process that is killed. */
    @Override
    public void close() {
        periodicWork.forEach(r -> r.cancel(false));
        rpc.close();
    }
}
