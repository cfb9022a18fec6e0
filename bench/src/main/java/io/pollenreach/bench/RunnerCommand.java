package io.pollenreach.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.bench.standin.RunnerServer;

/** Serves requests like a runner until the process ends. Used by one thread. */
@Command(name = "runner", description = "Serves requests in slots")
public final class RunnerCommand implements Runnable {
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;

    @Option(name = "--address", description = "Where to listen, as ip:port")
    private String address = "127.0.0.1:7500";

    @Option(name = "--slots", description = "Requests that run at once")
    private int slots = SLOTS;

    @Option(name = "--connections", description = "Requests that may wait")
    private int connections = CONNECTIONS;

    @Override
    public void run() {
        Standin.serve(() -> new RunnerServer(address, slots, connections).address());
    }
}
