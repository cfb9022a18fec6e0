package io.pollenreach.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.google.common.base.Splitter;
import io.pollenreach.daemon.internal.http.HttpCaller;

/**
 * Reads what one entry process has used.
 *
 * <p>Processor time and memory come from {@code /proc}, bytes from the entry's metrics. Immutable, so safe for use by
 * many threads.
 */
final class EntryProbe {
    /** Clock ticks in a second, which Linux fixes for all programs. */
    private static final double TICKS_PER_S = 100;

    private static final double KIB_PER_MB = 1_024;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final long TIMEOUT_MS = 5_000;

    private final String rpcAddress;
    private final URI metrics;
    private final long pid;
    private final HttpCaller http;

    /**
     * What the process has used so far.
     *
     * <p>Immutable.
     *
     * @param atNs when it was read
     * @param cpuS processor time in seconds
     * @param rssMb resident memory in megabytes
     * @param sent bytes sent to agents and peers
     * @param received bytes received from agents and peers
     */
    record Reading(long atNs, double cpuS, double rssMb, double sent, double received) {}

    private EntryProbe(String rpcAddress, URI metrics, long pid, HttpCaller http) {
        this.rpcAddress = rpcAddress;
        this.metrics = metrics;
        this.pid = pid;
        this.http = http;
    }

    /** Parses {@code RPC-ADDRESS,HTTP-ADDRESS,PID}. */
    static EntryProbe parse(String text, HttpCaller http) {
        List<String> parts = Splitter.on(',').trimResults().splitToList(text);
        if (parts.size() != 3) {
            throw new IllegalArgumentException("an entry is RPC-ADDRESS,HTTP-ADDRESS,PID, not " + text);
        }
        URI metrics = URI.create("http://" + parts.get(1) + "/metrics");
        return new EntryProbe(parts.get(0), metrics, Long.parseLong(parts.get(2)), http);
    }

    String rpcAddress() {
        return rpcAddress;
    }

    Reading read() {
        String scraped = scrape();
        return new Reading(
                System.nanoTime(),
                cpuS(),
                rssMb(),
                metric(scraped, "pollenreach_rpc_sent_bytes"),
                metric(scraped, "pollenreach_rpc_received_bytes"));
    }

    private String scrape() {
        byte[] body = http.call("GET", metrics, Map.of(), new byte[0], TIMEOUT_MS)
                .join()
                .body();
        return new String(body, StandardCharsets.UTF_8);
    }

    private static double metric(String scraped, String name) {
        return scraped.lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToDouble(l -> Double.parseDouble(l.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("the entry shows no metric " + name));
    }

    private double cpuS() {
        String stat = proc("stat");
        List<String> fields = Splitter.on(' ').splitToList(stat.substring(stat.lastIndexOf(')') + 2));
        long ticks = Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS));
        return ticks / TICKS_PER_S;
    }

    private double rssMb() {
        return proc("status")
                .lines()
                .filter(l -> l.startsWith("VmRSS:"))
                .map(l -> l.replaceAll("[^0-9]", ""))
                .mapToDouble(kib -> Long.parseLong(kib) / KIB_PER_MB)
                .findFirst()
                .orElseThrow();
    }

    private String proc(String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
