package io.pollenreach.bench.load;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.rpc.RpcNode;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.Part;
import io.pollenreach.internal.wire.Prepare;
import io.pollenreach.internal.wire.Release;
import io.pollenreach.internal.wire.Reserve;
import io.pollenreach.internal.wire.Stop;

/** Lets parts run at one worker's agent for a while, in gangs of two that the agent leads. Used by one thread. */
@Command(name = "hold", description = "Runs parts at a worker's agent to measure it under load")
public final class HoldCommand implements Runnable {
    private static final long TIMEOUT_MS = 5_000;
    private static final long TTL_MS = 5_000;

    @Option(name = "--agent", description = "The agent's address, as ip:port")
    private String agent = "";

    @Option(name = "--worker", description = "The worker's name")
    private String worker = "worker-1";

    @Option(name = "--parts", description = "How many parts, an even number")
    private int parts = 24;

    @Option(name = "--command", description = "The argument for the worker's runtime")
    private String command = "hang";

    @Option(name = "--seconds", description = "How long they run")
    private int seconds = 60;

    @Override
    public void run() {
        try (RpcNode rpc = RpcNode.start("127.0.0.1:0", m -> null, Clock.system(), 1)) {
            for (int i = 0; i < parts / 2; i++) {
                start(rpc, id(i));
            }
            System.out.println("parts " + parts + " run");
            TimeUnit.SECONDS.sleep(seconds);
            for (int i = 0; i < parts / 2; i++) {
                call(rpc, new Stop(id(i), 0, 0, null));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static AttemptId id(int gang) {
        return new AttemptId("measure/gang-" + gang, 1, "hold");
    }

    private void start(RpcNode rpc, AttemptId id) {
        List<Part> gang = List.of(new Part(0, worker, agent, 1), new Part(1, worker, agent, 1));
        for (int rank = 0; rank < 2; rank++) {
            call(rpc, new Reserve(id, rank, 1, TTL_MS, List.of(), 0));
        }
        for (int rank = 0; rank < 2; rank++) {
            call(rpc, new Prepare(id, rank, gang, command, 0));
        }
        for (int rank = 0; rank < 2; rank++) {
            call(rpc, new Release(id, rank));
        }
    }

    private Message call(RpcNode rpc, Message message) {
        return rpc.call(agent, message, TIMEOUT_MS).join();
    }
}
