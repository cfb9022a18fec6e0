package io.pollenreach.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.bench.standin.PlatformServer;

/** Serves the platform's protocol until the process ends. Used by one thread. */
@Command(name = "platform", description = "Serves tables, objects and workers' runtimes from memory")
public final class PlatformCommand implements Runnable {
    private static final int WRITES_PER_S = 300;
    private static final int READS_PER_S = 2_000;
    private static final long USAGE_LAG_MS = 2_000;

    @Option(name = "--address", description = "Where to listen, as ip:port")
    private String address = "127.0.0.1:7000";

    @Option(name = "--writes-per-s", description = "Rows and objects written in a second")
    private int writesPerS = WRITES_PER_S;

    @Option(name = "--reads-per-s", description = "Reads in a second")
    private int readsPerS = READS_PER_S;

    @Option(name = "--usage-lag-ms", description = "How old reported usage is")
    private long usageLagMs = USAGE_LAG_MS;

    @Override
    public void run() {
        Standin.serve(() -> new PlatformServer(address, writesPerS, readsPerS, usageLagMs).address());
    }
}
