package second;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as processes, started with the commands of the deploy file, each at a loopback address of
 * its own, among stand-ins of the store, the runners and the consumers.
 */
final class ProgramCluster implements AutoCloseable {
    /** An answer to a consumer; status 0 if there was none. */
    record Reply(int status, String body) {}

    static final String KEY = "key-1";
    static final String PREFIX = "/jobs/";
    private static final String HOST = "nony24.example";

    final Recorder record;
    final RowStore store = new RowStore();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    /** The longest lease that the platform allows at the start, in milliseconds. */
    long maxHoldMs = 6_000;

    private final Path directory;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, ProcessBuilder> builders = new LinkedHashMap<>();
    private final Map<String, String> fronts = new LinkedHashMap<>();
    private final int net = ThreadLocalRandom.current().nextInt(10, 250);
    private int nextHost = 1;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    ProgramCluster(Recorder record) throws IOException {
        this.record = record;
        directory = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts entries {@code e1} and so on and agents {@code a1} and so on with a runner each, and waits for them. */
    void start(int entries, int agents) throws Exception {
        configure(1);
        for (int i = 1; i <= entries; i++) {
            startEntry("e" + i);
        }
        for (int i = 1; i <= agents; i++) {
            startAgent("a" + i, "r1-" + i);
        }
        await(40_000, "the programs are ready", () -> store.count("workers") == agents
                && fronts.keySet().stream().allMatch(e -> call(e, "GET", "", "", false).status() == 200));
        // Steady state: the longest of the bounds of contact and acknowledgement.
        Thread.sleep(5_000);
    }

    /** Writes a version of the operator's configuration, with a tenant, a queue and a runner pool. */
    void configure(int version) {
        store.put(
                "op",
                "config",
                "{\"version\":" + version + ",\"routes\":[{\"name\":\"q\",\"host\":\"" + HOST + "\",\"path-prefix\":\""
                        + PREFIX + "\",\"service\":\"pool\",\"priority\":1,\"max-attempts\":4,\"target-factor\":3,"
                        + "\"target-latency-ms\":1000}],\"services\":[{\"name\":\"pool\",\"rejects-overload\":false}],"
                        + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"" + KEY + "\"],\"guaranteed\":{\"gpu\":0}}],"
                        + "\"limits\":{}}");
        record.log("operator: config " + version + " confirmed");
    }

    private String nextIp() {
        return "127." + net + ".7." + nextHost++;
    }

    private static String free(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return ip + ":" + s.getLocalPort();
        }
    }

    private List<String> settings(String name, String machineClass, String ip) throws Exception {
        return new ArrayList<>(List.of(
                "node-name=" + name,
                "role=" + machineClass,
                "machine-class=" + machineClass,
                "ip-address=" + ip,
                "zone=setubal",
                "region=pt-sul",
                "heartbeat-interval-ms=1500",
                "contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
                "bounds.contact-timeout-ms=3000",
                "bounds.ack-timeout-ms=4000",
                "bounds.drain-timeout-ms=2000",
                "bounds.grace-period-s=6",
                "bounds.config-apply-ms=2000",
                "bounds.strict-revocation=true",
                "bounds.revocation-ms=5000",
                "bounds.max-hold-ms=" + maxHoldMs,
                "bounds.stop-timeout-ms=400",
                "bounds.gang-timeout-ms=3000",
                "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000",
                "bounds.interference-ms=4000",
                "orders=call",
                "platform.address=" + ip + ":" + store.open(name, ip),
                "platform.form=table",
                "platform.row-bytes=65536",
                "platform.history-s=20"));
    }

    private void startEntry(String name) throws Exception {
        String ip = nextIp();
        String front = free(ip);
        fronts.put(name, front);
        List<String> s = settings(name, "front", ip);
        s.add("listen-addresses.front=" + front);
        s.add("listen-addresses.readiness=" + free(ip));
        launch(name, "entry", s);
    }

    private void startAgent(String name, String rack) throws Exception {
        String ip = nextIp();
        String control = free(ip);
        Worker w = new Worker(ip, "i-" + name, rack, control, record);
        w.maxHoldMs = maxHoldMs;
        workers.put(name, w);
        List<String> s = settings(name, "side", ip);
        s.add("listen-addresses.control=" + control);
        s.add("app=" + ip + ":" + w.port());
        launch(name, "agent", s);
    }

    private void launch(String name, String role, List<String> settings) throws Exception {
        Path file = directory.resolve(name + ".conf");
        Files.write(file, settings);
        ProcessBuilder b = new ProcessBuilder(command(role));
        for (String v : List.copyOf(b.environment().keySet())) {
            if (!List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(v)) {
                b.environment().remove(v);
            }
        }
        b.environment().put("POLLENREACH_NODE_FILE", file.toString());
        File log = directory.resolve(name + ".log").toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builders.put(name, b);
        launch(name);
    }

    /** Starts a process, or starts it again. */
    void launch(String name) throws IOException {
        processes.put(name, builders.get(name).start());
        record.log("process " + name + " started");
    }

    private static List<String> command(String role) throws IOException {
        String toml = Files.readString(Path.of("deploy", "system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(toml);
        if (!m.find()) {
            throw new IOException("deploy/system.toml has no command for " + role);
        }
        return List.of(m.group(1).split(" "));
    }

    /** Kills a process as SIGKILL does. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
        record.log("process " + name + " killed");
    }

    /** Replaces a line of the settings file of a process, and sends SIGHUP if that is told. */
    void change(String name, String before, String after, boolean signal) throws Exception {
        Path file = directory.resolve(name + ".conf");
        Files.writeString(file, Files.readString(file).replace(before, after));
        if (signal) {
            new ProcessBuilder("kill", "-HUP", "" + processes.get(name).pid()).start().waitFor();
        }
        record.log("settings of " + name + " changed: " + after + (signal ? ", SIGHUP sent" : ""));
    }

    List<String> entries() {
        return List.copyOf(fronts.keySet());
    }

    static String id(int n) {
        return String.format("%016x", 0xA000 + n);
    }

    Reply call(String entry, String method, String id, String body) {
        return call(entry, method, id, body, true);
    }

    /** Sends a consumer's call and records the answer. */
    Reply call(String entry, String method, String id, String body, boolean recorded) {
        long sentMs = record.nowMs();
        Reply reply;
        try {
            HttpResponse<String> r = http.send(
                    HttpRequest.newBuilder(URI.create("http://" + fronts.get(entry) + PREFIX + id))
                            .timeout(Duration.ofSeconds(3))
                            .header("Authorization", "Bearer " + KEY)
                            .header("Host", HOST)
                            .header("X-Pollenreach-Deadline-Milliseconds", "3000")
                            .header("Content-Type", "application/json")
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            reply = new Reply(r.statusCode(), r.body());
        } catch (Exception e) {
            reply = new Reply(0, e.toString());
        }
        if (recorded) {
            record.log("consumer at " + entry + ": " + method + " " + PREFIX + id + " -> " + reply.status() + " "
                    + reply.body() + " (sent at " + sentMs + ")");
        }
        return reply;
    }

    /** Returns a body of a job with one step. */
    static String job(String specification, String step) {
        return "{\"specification\":\"" + specification + "\",\"steps\":[" + step + "]}";
    }

    /** Returns a step of one subtask. */
    static String step(int accelerators, long estimatedMs) {
        return "{\"count\":1,\"cpu\":1000,\"gpu\":" + accelerators + ",\"estimated-ms\":" + estimatedMs + "}";
    }

    /** Submits a job and expects it to be accepted. */
    void submit(String entry, String id, String body) throws Exception {
        Reply r = call(entry, "POST", id, body);
        if (r.status() != 200) {
            throw new IllegalStateException("the job " + id + " was not accepted: " + r);
        }
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    void await(long timeoutMs, String what, Condition c) throws Exception {
        long endMs = record.nowMs() + timeoutMs;
        while (!c.holds()) {
            if (record.nowMs() > endMs) {
                throw new IllegalStateException("not within " + timeoutMs + " ms: " + what);
            }
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        if (System.getenv("KEEP") != null) {
            System.err.println("logs: " + directory);
            return;
        }
        try (Stream<Path> all = Files.walk(directory)) {
            all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // It was removed before.
        }
    }
}
