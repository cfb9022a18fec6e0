package io.pollenreach.systemtest;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import io.pollenreach.bench.emulator.EmulatedAdvisor;
import io.pollenreach.bench.emulator.EmulatedMachines;
import io.pollenreach.bench.emulator.EmulatedStore;
import io.pollenreach.bench.emulator.EmulatedWorker;
import io.pollenreach.bench.emulator.RunRecord;
import io.pollenreach.bench.link.FaultyLink;

/**
 * Entries and agents of the users' platform as real processes, between emulated workers and an emulated store inside
 * this process.
 *
 * <p>Used by one thread.
 */
final class PlatformCluster implements AutoCloseable {
    static final String KEY = "key-1";
    /** The key of another workspace. */
    static final String OTHER_KEY = "key-of-others";

    /** A key that comes and goes. */
    static final String ADDED_KEY = "key-2";

    /** A header that says nothing, for calls without a key. */
    private static final String[] NO_KEY = {"Accept", "application/json"};

    private static final String IP = "127.0.0.1";
    static final String PREFIX = "/jobs/";
    /** Within how long a zone under evacuation must get no more starts, in milliseconds. */
    static final long EVACUATION_MS = 2_000;

    private static final int ZONES = 2;
    private static final String ZONE_OF_ENTRIES = "z1";
    private static final String ADVISED_PREFIX = "/advised/";
    /** Jobs of this queue have an objective. */
    static final String TIMED_PREFIX = "/timed/";

    private static final long START_TIMEOUT_MS = 30_000;

    /** Several times what a start takes, in milliseconds. */
    private static final long SLOW_START_MS = 10_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final Path directory;
    private final EmulatedStore store = new EmulatedStore(IP);
    private final EmulatedAdvisor advisor = new EmulatedAdvisor(IP, Set.of("i-a2"));
    private final EmulatedMachines machines = new EmulatedMachines(IP);
    private final RunRecord record = new RunRecord();
    private final Map<String, Daemon> daemons = new LinkedHashMap<>();
    private final Map<String, String> ingress = new LinkedHashMap<>();
    private final List<EmulatedWorker> workers = new ArrayList<>();
    private final Map<String, String> zones = new LinkedHashMap<>();
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final OptionalLong linkSeed;
    private boolean stoppableThreads;
    private int configVersion;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private PlatformCluster(String name, OptionalLong linkSeed) throws Exception {
        directory = Files.createDirectories(Path.of("target", "clusters", name));
        this.linkSeed = linkSeed;
    }

    /** Starts entries {@code e1} and so on, and agents {@code a1} and so on with a worker each. */
    static PlatformCluster start(String name, int entries, int workers) throws Exception {
        return start(new PlatformCluster(name, OptionalLong.empty()), entries, workers);
    }

    /** Starts a cluster as above, in which each process reaches the store through a link of its own. */
    static PlatformCluster startLinked(String name, int entries, int workers, long linkSeed) throws Exception {
        return start(new PlatformCluster(name, OptionalLong.of(linkSeed)), entries, workers);
    }

    /** Starts a cluster as above, in which threads of the processes can be stopped. */
    static PlatformCluster startWithStoppableThreads(String name, int entries, int workers) throws Exception {
        PlatformCluster c = new PlatformCluster(name, OptionalLong.empty());
        c.stoppableThreads = true;
        return start(c, entries, workers);
    }

    private static PlatformCluster start(PlatformCluster c, int entries, int workers) throws Exception {
        try {
            c.configure(1, List.of(KEY));
            for (int i = 1; i <= entries; i++) {
                c.addEntry("e" + i);
            }
            for (int i = 1; i <= workers; i++) {
                c.addWorker("a" + i, "r" + (1 + (i - 1) / 3), "z" + (1 + i % ZONES));
            }
            c.awaitWorkers(workers);
            for (String e : c.ingress.keySet()) {
                Await.until(
                        e + " answers",
                        START_TIMEOUT_MS,
                        () -> c.call(e, "GET", "", "", KEY).statusCode() == OK);
            }
            return c;
        } catch (Exception | AssertionError e) {
            c.close();
            throw e;
        }
    }

    /** Waits until all workers are known; if that is slow, records what each side believes, and waits on. */
    private void awaitWorkers(int count) throws Exception {
        try {
            Await.until("workers are known soon", SLOW_START_MS, () -> knownWorkers() == count);
        } catch (AssertionError e) {
            recordSlowStart();
            Await.until("workers are known", START_TIMEOUT_MS - SLOW_START_MS, () -> knownWorkers() == count);
        }
    }

    private int knownWorkers() {
        return store.table("workers").size();
    }

    private void recordSlowStart() throws Exception {
        List<String> lines = new ArrayList<>();
        lines.add("workers in the store: " + store.table("workers").keySet());
        for (String agent : agents()) {
            Daemon daemon = daemon(agent);
            EmulatedWorker worker = workers.get(agents().indexOf(agent));
            lines.add(agent + " runs: " + daemon.alive() + "; last heartbeat of its worker: " + worker.lastHeartbeat());
            lines.addAll(daemon.settings());
            if (daemon.alive()) {
                daemon.dumpThreads();
                lines.addAll(daemon.sockets());
            }
        }
        Files.write(directory.resolve("slow-start.txt"), lines);
    }

    /** Writes the next version of the operator's configuration, with these keys of the first workspace. */
    void setKeys(List<String> keys) {
        configure(configVersion + 1, keys);
    }

    /** Writes a version of the operator's configuration. */
    void configure(int version, List<String> keys) {
        configVersion = version;
        String config = "{\"version\":" + version + ",\"routes\":[{\"name\":\"q\",\"host\":\"" + IP
                + "\",\"path-prefix\":\"" + PREFIX + "\",\"service\":\"pool\",\"priority\":1,\"max-attempts\":3},"
                + "{\"name\":\"a\",\"host\":\"" + IP + "\",\"path-prefix\":\"" + ADVISED_PREFIX
                + "\",\"service\":\"pool\",\"priority\":1,\"max-attempts\":3,"
                + "\"advice\":{\"decision-ms\":40,\"per-worker-ms\":0,\"validity-ms\":1500}},"
                + "{\"name\":\"t\",\"host\":\"" + IP + "\",\"path-prefix\":\"" + TIMED_PREFIX
                + "\",\"service\":\"pool\",\"priority\":1,\"max-attempts\":3,"
                + "\"target-factor\":1,\"target-latency-ms\":200}],"
                + "\"tenants\":[{\"name\":\"team\",\"api-keys\":[\"" + String.join("\",\"", keys)
                + "\"],\"guaranteed\":{\"gpu\":4}},{\"name\":\"others\",\"api-keys\":[\"" + OTHER_KEY + "\"]}]}";
        store.put("op", "config", config.getBytes(StandardCharsets.UTF_8));
    }

    private void addEntry(String name) throws Exception {
        String front = Ports.freeAddress();
        ingress.put(name, front);
        List<String> lines = common(name, ZONE_OF_ENTRIES);
        lines.add("listen-addresses.front=" + front);
        lines.add("listen-addresses.readiness=" + Ports.freeAddress());
        start("entry", name, lines);
    }

    private void addWorker(String name, String rack, String zone) throws Exception {
        String heartbeats = Ports.freeAddress();
        EmulatedWorker worker = new EmulatedWorker(IP, "i-" + name, rack, zone, heartbeats, record);
        workers.add(worker);
        zones.put("i-" + name, zone);
        machines.add("i-" + name);
        List<String> lines = common(name, zone);
        lines.add("listen-addresses.control=" + heartbeats);
        lines.add("app=" + IP + ":" + worker.port());
        start("agent", name, lines);
    }

    private void start(String program, String name, List<String> settings) throws Exception {
        Daemon daemon = stoppableThreads
                ? Daemon.onPlatformWithStoppableThreads(program, name, directory, settings)
                : Daemon.onPlatform(program, name, directory, settings);
        daemons.put(daemon.name(), daemon);
        daemon.start();
    }

    private List<String> common(String name, String zone) {
        return new ArrayList<>(List.of(
                "node-name=" + name,
                "zone=" + zone,
                "ip-address=" + IP,
                "platform.address=" + storeAddress(name),
                "advice=" + IP + ":" + advisor.port(),
                "cloud-api.address=" + IP + ":" + machines.port(),
                "bounds.max-hold-ms=6000",
                "bounds.revocation-ms=5000",
                "bounds.grace-period-s=6",
                "bounds.evacuation-ms=" + EVACUATION_MS,
                "field.from.the.future=x"));
    }

    /** Returns where a process reaches the store. */
    private String storeAddress(String name) {
        String address = IP + ":" + store.port();
        if (linkSeed.isEmpty()) {
            return address;
        }
        return links.computeIfAbsent(name, n -> new FaultyLink(address, linkSeed.getAsLong() + n.hashCode()))
                .address();
    }

    /** Returns the link between a process and the store, in a cluster that has links. */
    FaultyLink link(String name) {
        return links.get(name);
    }

    /** Returns where an entry takes calls, as {@code ip:port}. */
    String ingress(String entry) {
        return ingress.get(entry);
    }

    Path directory() {
        return directory;
    }

    EmulatedStore store() {
        return store;
    }

    EmulatedMachines machines() {
        return machines;
    }

    RunRecord record() {
        return record;
    }

    List<EmulatedWorker> workers() {
        return workers;
    }

    /** Returns the availability zones that have workers. */
    List<String> zones() {
        return zones.values().stream().distinct().sorted().toList();
    }

    /** Returns the availability zone of a worker. */
    String zoneOf(String worker) {
        return zones.get(worker);
    }

    /** Evacuates a zone, as the operator does. */
    void evacuate(String zone) {
        store.put("op", "evacuate/" + zone, "{}".getBytes(StandardCharsets.UTF_8));
    }

    /** Takes back the evacuation of a zone. */
    void endEvacuation(String zone) {
        store.remove("op", "evacuate/" + zone);
    }

    /** Returns the worker of an agent. */
    EmulatedWorker worker(String agent) {
        return workers.get(agents().indexOf(agent));
    }

    Daemon daemon(String name) {
        return daemons.get(name);
    }

    List<String> agents() {
        return daemons.keySet().stream().filter(n -> n.startsWith("a")).toList();
    }

    List<String> entries() {
        return List.copyOf(ingress.keySet());
    }

    /** Returns an id as submitters choose them. */
    static String id(int number) {
        return String.format("%016x", number);
    }

    /** Submits until some entry accepts, as submitters do. */
    void submit(String id, String payload, String steps) throws Exception {
        submit(PREFIX, id, payload, steps);
    }

    /** Submits to a queue whose tasks may run on the second worker alone. */
    void submitAdvised(String id, String payload, String steps) throws Exception {
        for (EmulatedWorker w : workers) {
            w.requireTickets(advisor);
        }
        submit(ADVISED_PREFIX, id, payload, steps);
    }

    private void submit(String prefix, String id, String payload, String steps) throws Exception {
        String body = "{\"specification\":\"" + payload + "\",\"steps\":" + steps + "}";
        Await.until("submitted " + id, START_TIMEOUT_MS, () -> {
            for (String e : ingress.keySet()) {
                if (daemon(e).alive() && send(e, "POST", prefix + id, body, KEY).statusCode() == OK) {
                    return true;
                }
            }
            return false;
        });
    }

    /** Asks any entry that answers for the state of a job. */
    String state(String id) throws Exception {
        return state(PREFIX + id, KEY);
    }

    /** Asks any entry that answers for the state of a job, by its path and a key of its workspace. */
    String state(String path, String key) throws Exception {
        for (String e : ingress.keySet()) {
            if (daemon(e).alive()) {
                HttpResponse<String> r = send(e, "GET", path, "", key);
                if (r.statusCode() == OK) {
                    return r.body();
                }
            }
        }
        return "";
    }

    void awaitState(String id, String state, long timeoutMs) throws Exception {
        Await.until(id + " is " + state, timeoutMs, () -> state(id).contains('"' + state + '"'));
    }

    HttpResponse<String> call(String entry, String method, String id, String body, String key) throws Exception {
        return send(entry, method, PREFIX + id, body, key);
    }

    private HttpResponse<String> send(String entry, String method, String path, String body, String key)
            throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + ingress.get(entry) + path))
                .timeout(CALL_TIMEOUT)
                .headers(key.isEmpty() ? NO_KEY : new String[] {"Authorization", "Bearer " + key})
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() throws Exception {
        for (Daemon d : daemons.values()) {
            d.close();
        }
        workers.forEach(EmulatedWorker::close);
        links.values().forEach(FaultyLink::close);
        store.close();
        advisor.close();
        machines.close();
    }
}
