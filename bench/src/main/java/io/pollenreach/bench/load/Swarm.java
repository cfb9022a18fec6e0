package io.pollenreach.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;

import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.agent.AgentNode;
import io.pollenreach.daemon.internal.rpc.RpcThreads;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.TargetKind;

/**
 * Many agents of workers in one process, each with its own port and connections.
 *
 * <p>The agents are real but for their runtimes. Not safe for use by many threads.
 */
final class Swarm implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int ACCELERATORS = 8;
    private static final int WORKERS_PER_RACK = 3;
    private static final List<String> ZONES = List.of("setubal", "almada", "evora");

    private final List<String> entries;
    private final RpcThreads threads = new RpcThreads(THREADS);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(THREADS);
    private final List<AgentNode> agents = new ArrayList<>();

    Swarm(List<String> entries) {
        this.entries = List.copyOf(entries);
        timer.setRemoveOnCancelPolicy(true);
    }

    /** Starts agents until there are as many as asked for. */
    void growTo(int size) {
        while (agents.size() < size) {
            AgentSettings settings = settings(agents.size());
            agents.add(AgentNode.startWorker(settings, new MemoryRuntime(), Clock.system(), threads, timer));
        }
    }

    private AgentSettings settings(int number) {
        String zone = ZONES.get(number % ZONES.size());
        int rack = number / ZONES.size() / WORKERS_PER_RACK;
        return new AgentSettings(
                "worker-" + number,
                TargetKind.WORKER,
                "",
                zone,
                zone + "-rack-" + rack,
                "",
                "127.0.0.1:0",
                entries,
                "",
                ACCELERATORS,
                0,
                0,
                0);
    }

    /** Returns how many agents an entry knows of. */
    long ready() {
        return agents.stream().filter(AgentNode::ready).count();
    }

    /** Returns the bytes that all agents have sent and received. */
    long bytes() {
        return agents.stream().mapToLong(a -> a.bytesSent() + a.bytesReceived()).sum();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        agents.forEach(AgentNode::close);
        threads.close();
    }
}
