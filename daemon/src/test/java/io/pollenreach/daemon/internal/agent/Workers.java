package io.pollenreach.daemon.internal.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;

/** Several workers' agents in memory under one clock. Used by one thread. */
final class Workers {
    static final int ACCELERATORS = 8;
    static final long TTL_MS = 2_000;

    final ManualClock clock = new ManualClock();
    final FakeRpc rpc = new FakeRpc();
    final Map<String, FakeRuntime> runtimes = new LinkedHashMap<>();
    final Map<String, WorkerAgent> agents = new LinkedHashMap<>();
    /** Agents that are paused. */
    final List<String> paused = new ArrayList<>();

    Workers(String... ids) {
        clock.advanceMs(1_000_000);
        for (String id : ids) {
            runtimes.put(id, new FakeRuntime(clock));
            restart(id);
        }
        run(AgentTimes.TICK_MS * 3);
    }

    void restart(String id) {
        WorkerAgent agent = new WorkerAgent(id, ACCELERATORS, runtimes.get(id), rpc.from(id), clock);
        agents.put(id, agent);
        rpc.handlers.put(id, agent::handle);
    }

    void run(long ms) {
        for (long t = 0; t < ms; t += AgentTimes.TICK_MS) {
            clock.advanceMs(AgentTimes.TICK_MS);
            runtimes.values().forEach(FakeRuntime::tick);
            agents.forEach((id, agent) -> {
                if (!paused.contains(id)) {
                    agent.tick();
                }
            });
        }
    }

    static AttemptId id(String job, int attempt) {
        return new AttemptId(job, attempt, "n" + attempt);
    }

    CompletableFuture<Message> send(String worker, Message message) {
        try {
            return agents.get(worker).handle(message);
        } catch (PollenreachException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    CompletableFuture<Message> reserve(String worker, AttemptId id, int rank, int accelerators) {
        return send(worker, new Reserve(id, rank, accelerators, TTL_MS, List.of(), 0));
    }

    CompletableFuture<Message> prepare(String worker, AttemptId id, int rank, List<String> gang) {
        List<Part> parts = new ArrayList<>();
        for (int i = 0; i < gang.size(); i++) {
            parts.add(new Part(i, gang.get(i), gang.get(i), ACCELERATORS));
        }
        return send(worker, new Prepare(id, rank, parts, "train", 0));
    }

    void runGang(AttemptId id, int accelerators, List<String> gang) {
        for (int i = 0; i < gang.size(); i++) {
            reserve(gang.get(i), id, i, accelerators).join();
        }
        for (int i = 0; i < gang.size(); i++) {
            prepare(gang.get(i), id, i, gang).join();
        }
        for (int i = 0; i < gang.size(); i++) {
            send(gang.get(i), new Release(id, i)).join();
        }
    }

    CompletableFuture<Message> stop(String worker, AttemptId id, int rank, long graceMs) {
        return send(worker, new Stop(id, rank, graceMs, worker));
    }

    static ResultCode codeOf(CompletableFuture<?> future) {
        return future.handle((v, t) ->
                        t == null ? ResultCode.OK : PollenreachException.of(t).code())
                .getNow(null);
    }
}
