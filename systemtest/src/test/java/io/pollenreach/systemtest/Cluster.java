package io.pollenreach.systemtest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import io.pollenreach.Clock;
import io.pollenreach.Urgency;
import io.pollenreach.bench.link.FaultyLink;
import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryPage;
import io.pollenreach.bench.standin.PlatformServer;
import io.pollenreach.bench.standin.RunnerServer;

/**
 * Entries and agents as real processes, between stand-ins of the platform and of runners inside this process.
 *
 * <p>Entries reach the platform through a link that can be made to fail. Settings and logs lie in {@code
 * target/clusters}. Used by one thread, but for what it hands out.
 */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "desk";
    static final int ACCELERATORS = 8;
    static final int SLOTS = 4;
    static final int CONNECTIONS = 16;
    private static final int WORKERS_PER_RACK = 3;
    private static final int WRITES_PER_S = 300;
    private static final int READS_PER_S = 2_000;
    private static final long USAGE_LAG_MS = 500;
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long DRAIN_TIMEOUT_MS = 10_000;
    private static final Clock CLOCK = Clock.system();

    private final Path directory;
    private final PlatformServer platform;
    private final FaultyLink platformLink;
    private final Api api;
    private final List<String> entryHttp;
    private final List<String> entryRpc;
    private final Map<String, Daemon> daemons = new TreeMap<>();
    private final Map<String, RunnerServer> runners = new TreeMap<>();
    private final Map<String, Integer> workers = new TreeMap<>();

    private Cluster(String name, int entries, long seed) throws Exception {
        directory = Files.createDirectories(Path.of("target", "clusters", name));
        platform = new PlatformServer("127.0.0.1:0", WRITES_PER_S, READS_PER_S, USAGE_LAG_MS);
        platformLink = new FaultyLink(platform.address(), seed);
        api = new Api();
        entryHttp = addresses(entries);
        entryRpc = addresses(entries);
    }

    /**
     * Starts a cluster and waits until every entry knows every target.
     *
     * @param name names the directory of its files
     * @param entries how many entries, named e1, e2 and so on
     * @param workers how many workers, named w1 and so on, three to a rack
     * @param runners how many runners, named r1 and so on
     * @param seed the seed of the link's choices
     */
    static Cluster start(String name, int entries, int workers, int runners, long seed) throws Exception {
        Cluster c = new Cluster(name, entries, seed);
        try {
            for (int i = 1; i <= entries; i++) {
                c.add("entry", "e" + i, c.entrySettings(i)).start();
            }
            for (int i = 1; i <= workers; i++) {
                c.addWorker(i).start();
            }
            for (int i = 1; i <= runners; i++) {
                c.addRunner(i).start();
            }
            c.awaitTargets(workers + runners);
            return c;
        } catch (Exception | AssertionError e) {
            c.close();
            throw e;
        }
    }

    PlatformServer platform() {
        return platform;
    }

    FaultyLink platformLink() {
        return platformLink;
    }

    Api api() {
        return api;
    }

    /** Returns a daemon by its name. */
    Daemon daemon(String name) {
        return daemons.get(name);
    }

    RunnerServer runner(String name) {
        return runners.get(name);
    }

    /** Returns the HTTP address of an entry, from 1. */
    String entry(int number) {
        return entryHttp.get(number - 1);
    }

    Map<String, Integer> workers() {
        return workers;
    }

    /** Returns the platform's whole history. */
    List<HistoryEntry> platformHistory() {
        return whole(platform.history(0));
    }

    /** Returns the whole histories of all runners. */
    List<HistoryEntry> runnerHistories() {
        return runners.values().stream()
                .flatMap(r -> whole(r.history(0)).stream())
                .toList();
    }

    /** Waits until every living entry knows so many targets. */
    void awaitTargets(int count) throws InterruptedException {
        for (int i = 1; i <= entryHttp.size(); i++) {
            String entry = entry(i);
            if (daemon("e" + i).alive()) {
                Await.until("e" + i + " knows " + count + " targets", START_TIMEOUT_MS, () -> targets(entry) == count);
            }
        }
    }

    /** Declares a workspace without guarantees and waits until all entries have it. */
    void addWorkspace(String workspace) throws InterruptedException {
        addWorkspace(workspace, 0, 0);
    }

    /** Declares a workspace with one guaranteed shape and waits until all entries have it. */
    void addWorkspace(String workspace, int parts, int acceleratorsPerPart) throws InterruptedException {
        JsonNode envelope = Declarations.workspace(workspace, parts, acceleratorsPerPart);
        String path = "/v1/workspaces/" + workspace;
        Await.until("workspace " + workspace + " accepted", START_TIMEOUT_MS, () -> {
            api.put(entry(1), path, envelope, Api.OPERATOR_TOKEN);
            return true;
        });
        for (int i = 1; i <= entryHttp.size(); i++) {
            String entry = entry(i);
            if (daemon("e" + i).alive()) {
                Await.until("workspace at e" + i, START_TIMEOUT_MS, () -> !api.get(entry, path)
                        .isEmpty());
            }
        }
    }

    /** Submits a job at any entry that takes it; the same declaration may be sent more than once. */
    void submit(String workspace, String name, int parts, int acceleratorsPerPart, String command)
            throws InterruptedException {
        submit(workspace, name, Urgency.NORMAL, parts, acceleratorsPerPart, command);
    }

    /** Submits a job of an urgency at any entry that takes it. */
    void submit(String workspace, String name, Urgency urgency, int parts, int acceleratorsPerPart, String command)
            throws InterruptedException {
        JsonNode envelope = Declarations.job(workspace, name, urgency, parts, acceleratorsPerPart, command);
        String path = "/v1/jobs/" + workspace + "/" + name;
        int[] tries = {0};
        Await.until("job " + name + " accepted", START_TIMEOUT_MS, () -> {
            String entry = entry(1 + tries[0]++ % entryHttp.size());
            api.put(entry, path, envelope, Api.tokenOf(workspace));
            return true;
        });
    }

    /** Returns the configuration version in force at an entry. */
    ConfigSeen configSeen(int number) {
        long version =
                api.get(entry(number), "/v1/status").path("configVersion").asLong(-1);
        return new ConfigSeen("e" + number, CLOCK.nowMs(), version);
    }

    private int targets(String entry) {
        JsonNode list = api.get(entry, "/v1/targets");
        return list.isArray() ? list.size() : list.path("items").size();
    }

    private Daemon addWorker(int number) throws IOException {
        String name = "w" + number;
        workers.put(name, ACCELERATORS);
        List<String> lines = agentSettings(name, "WORKER", "rack-" + (number - 1) / WORKERS_PER_RACK);
        lines.add("targetUri: http://" + platform.address() + "/workers/" + name);
        lines.add("accelerators: " + ACCELERATORS);
        return add("agent", name, lines);
    }

    private Daemon addRunner(int number) throws Exception {
        String name = "r" + number;
        RunnerServer runner = new RunnerServer("127.0.0.1:0", SLOTS, CONNECTIONS);
        runners.put(name, runner);
        List<String> lines = agentSettings(name, "RUNNER", "rack-" + (number - 1) / WORKERS_PER_RACK);
        lines.add("service: " + SERVICE);
        lines.add("targetUri: http://" + runner.address());
        lines.add("slots: " + SLOTS);
        lines.add("connections: " + CONNECTIONS);
        return add("agent", name, lines);
    }

    private Daemon add(String program, String name, List<String> settings) throws IOException {
        Daemon daemon = new Daemon(program, name, directory, settings);
        daemons.put(name, daemon);
        return daemon;
    }

    private List<String> entrySettings(int number) {
        List<String> peers = new ArrayList<>(entryRpc);
        peers.remove(number - 1);
        return List.of(
                "id: e" + number,
                "zone: zone-a",
                "httpAddress: " + entryHttp.get(number - 1),
                "rpcAddress: " + entryRpc.get(number - 1),
                "peers: " + peers,
                "platformUri: http://" + platformLink.address(),
                "operatorTokenSha256: " + sha256(Api.OPERATOR_TOKEN),
                "drainTimeoutMs: " + DRAIN_TIMEOUT_MS);
    }

    private List<String> agentSettings(String name, String kind, String rack) {
        return new ArrayList<>(List.of(
                "id: " + name,
                "kind: " + kind,
                "zone: zone-a",
                "rack: " + rack,
                "httpAddress: " + Ports.freeAddress(),
                "rpcAddress: " + Ports.freeAddress(),
                "entries: " + entryRpc,
                "drainTimeoutMs: " + DRAIN_TIMEOUT_MS));
    }

    static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    private static List<String> addresses(int count) {
        return IntStream.range(0, count).mapToObj(i -> Ports.freeAddress()).collect(Collectors.toList());
    }

    private static List<HistoryEntry> whole(HistoryPage page) {
        if (page.dropped() > 0) {
            throw new IllegalStateException(page.dropped() + " events are no longer held");
        }
        return page.entries();
    }

    @Override
    public void close() throws Exception {
        for (Daemon d : daemons.values()) {
            d.close();
        }
        api.close();
        platformLink.close();
        for (RunnerServer r : runners.values()) {
            r.close();
        }
        platform.close();
    }
}
