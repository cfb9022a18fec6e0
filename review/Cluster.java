package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A small deployment: entries and agents as processes of their own, each on a loopback address of its own, between
 * runners, a store, an advisor and a list of machines inside this process.
 */
final class Cluster implements AutoCloseable {
    static final String POOL = "huvo11a";
    static final String HOST = "nony24.example";
    static final String URGENT = "/pufi791/";
    static final String NORMAL = "/lohu930/";
    static final String BATCH = "/pule252/";
    static final String ADVISED = "/koma118/";
    static final String KEY_A = "d4a3hwrr6x73d3zji9n7";
    static final String KEY_B = "3hh2b9wu3fexd9dnn2ct";
    private static final int FRONT = 8521;
    private static final int READINESS = 8523;
    private static final int SERVICE = 8524;
    private static final int CONTROL = 8526;
    private static final int APP = 8529;
    private static final int[] PORTS = {FRONT, READINESS, SERVICE, CONTROL, APP, 7010, 7011};

    /** The response to a call of a consumer; status 0 when there was none. */
    record Reply(int status, String body) {}

    final RunRecord record;
    final Store store;
    final Advisor advisor;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final List<Runner> runners = new ArrayList<>();
    private final Machines machines;
    private final Path directory;
    private final String network;
    private final Map<String, String> fronts = new LinkedHashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private int nextHost = 10;
    private long nextId = Math.abs(new Random().nextLong() >> 8) << 4;

    Cluster(RunRecord record, Path directory, int entries, int runnerCount, long stopMs, long firstHeartbeatMs)
            throws Exception {
        this.record = record;
        this.directory = directory;
        network = freeNetwork(3 + entries + runnerCount);
        store = new Store(host(), SERVICE, record);
        advisor = new Advisor(network + "11", SERVICE, record);
        nextHost++;
        machines = new Machines(network + "12", SERVICE, () -> runners.stream().map(r -> r.identifier).toList());
        nextHost++;
        store.put("op", "config", config());
        for (int i = 1; i <= entries; i++) {
            addEntry("front-" + i);
        }
        for (int i = 1; i <= runnerCount; i++) {
            addRunner("side-" + i, stopMs, firstHeartbeatMs);
        }
        await("the runners are known", 40_000, () -> store.values("workers").stream()
                        .filter(v -> v.contains("\"takesTasks\":true"))
                        .count()
                == runnerCount);
        for (String e : fronts.keySet()) {
            await(e + " answers", 30_000, () -> call(e, "GET", NORMAL, KEY_A, null).status() == 200);
        }
        record.note("all is ready");
    }

    private String host() {
        return network + nextHost++;
    }

    // A third byte is taken whose addresses have all the ports free.
    private static String freeNetwork(int hosts) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (64 + random.nextInt(128)) + "." + (1 + random.nextInt(250)) + ".";
            boolean free = true;
            for (int h = 10; h < 10 + hosts && free; h++) {
                for (int port : PORTS) {
                    try (ServerSocket s = new ServerSocket()) {
                        s.bind(new InetSocketAddress(InetAddress.getByName(network + h), port));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return network;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static String route(String name, String prefix, int priority, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix
                + "\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":1000,\"priority\":" + priority
                + ",\"service\":\"" + POOL + "\",\"max-attempts\":" + attempts
                + ",\"target-factor\":3.0,\"public\":false" + more + "}";
    }

    private static String config() {
        return "{\"version\":7,\"routes\":["
                + route("r-urgent", URGENT, 0, 4, "") + ","
                + route("r-normal", NORMAL, 1, 4, "") + ","
                + route("r-batch", BATCH, 2, 2, "") + ","
                + route("r-advised", ADVISED, 1, 4,
                        ",\"advice\":{\"decision-ms\":40,\"per-worker-ms\":0,\"validity-ms\":3000}")
                + "],\"services\":[{\"name\":\"" + POOL + "\",\"health-path\":\"/health\",\"connection-limit\":64,"
                + "\"protocol\":\"h1\",\"transport-security\":false,\"rejects-overload\":false,\"standby\":false}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000},\"tenants\":["
                + "{\"name\":\"kaje80\",\"api-keys\":[\"" + KEY_A + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":8}},"
                + "{\"name\":\"lumo31\",\"api-keys\":[\"" + KEY_B + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":8}}]}";
    }

    private void addEntry(String name) throws Exception {
        String ip = host();
        fronts.put(name, ip + ":" + FRONT);
        List<String> lines = common(name, "entry", "front", ip);
        lines.add("serves=front");
        lines.add("listen-addresses.front=" + ip + ":" + FRONT);
        lines.add("listen-addresses.readiness=" + ip + ":" + READINESS);
        start(new Node(name, "entry", directory, lines, record));
    }

    private void addRunner(String name, long stopMs, long firstHeartbeatMs) throws Exception {
        String ip = host();
        List<String> lines = common(name, "agent", "side", ip);
        lines.add("serves=side");
        lines.add("listen-addresses.control=" + ip + ":" + CONTROL);
        lines.add("app=" + ip + ":" + APP);
        lines.add("service=" + POOL);
        start(new Node(name, "agent", directory, lines, record));
        String id = "i-7f3a91c" + Integer.toHexString(runners.size());
        runners.add(new Runner(id, ip, APP, "r1-1", ip + ":" + CONTROL, advisor, record, stopMs, firstHeartbeatMs));
    }

    private void start(Node node) throws IOException {
        nodes.put(node.name, node);
        node.start();
    }

    private List<String> common(String name, String role, String machineClass, String ip) {
        return new ArrayList<>(List.of(
                "node-name=" + name, "role=" + role, "machine-class=" + machineClass, "ip-address=" + ip,
                "zone=setubal", "region=pt-sul", "zones.setubal=pt-sul", "internal-port-range=7000,7015",
                "bootstrap=true", "counts-as-loss=false", "limits.cpu-share=0.75", "limits.cores=1",
                "limits.memory-mb=430", "limits.file-descriptors=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
                "discovery=local", "entry-point=virtual_ip", "heartbeat-interval-ms=1500",
                "contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing",
                "bounds.contact-timeout-ms=3000", "bounds.ack-timeout-ms=4000", "bounds.drain-timeout-ms=2000",
                "bounds.grace-period-s=6", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000",
                "bounds.strict-revocation=true", "bounds.revocation-ms=5000", "bounds.recovery-s=12",
                "bounds.max-hold-ms=6000", "bounds.stop-timeout-ms=400", "bounds.gang-timeout-ms=3000",
                "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
                "bounds.status_s=120", "bounds.lease-duration-ms=3000", "orders=call",
                "advice=" + network + "11:" + SERVICE, "platform.address=" + network + "10:" + SERVICE,
                "platform.form=table", "platform.writes-per-s=800", "platform.reads-per-s=2000",
                "platform.tx-latency-ms=3.0", "platform.partition-writes-s=300",
                "platform.row-bytes=" + Store.ROW_BYTES, "platform.cross-partition=true", "platform.history-s=20",
                "cloud-api.address=" + network + "12:" + SERVICE, "cloud-api.rate-per-s=60.0"));
    }

    /** Returns an id as consumers choose them. */
    String newId() {
        return String.format("%016x", nextId++);
    }

    /** Makes one call of a consumer to an entry. */
    Reply call(String entry, String method, String path, String key, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + fronts.get(entry) + path))
                .timeout(Duration.ofSeconds(3))
                .header("Authorization", "Bearer " + key)
                .header("X-Pollenreach-Deadline-Milliseconds", "3000")
                .header("Content-Type", "application/json")
                .header("Host", HOST)
                .method(method, body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> r = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(r.statusCode(), r.body());
        } catch (IOException e) {
            return new Reply(0, String.valueOf(e));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Makes a call at any entry that answers, and notes it. */
    Reply consumer(String method, String path, String key, String body) {
        Reply last = new Reply(0, "");
        for (String e : fronts.keySet()) {
            if (nodes.get(e).isAlive()) {
                last = call(e, method, path, key, body);
                String sent = body == null ? "" : " " + (body.length() > 300 ? body.length() + " bytes" : body);
                record.note("consumer: " + method + " " + path + sent + " at " + e + " -> " + last.status() + " "
                        + last.body());
                if (last.status() > 0 && last.status() < 500) {
                    return last;
                }
            }
        }
        return last;
    }

    /** Hands in a job, as a consumer with four retries does; tells whether it was accepted. */
    boolean submit(String prefix, String id, String key, String specification, String steps, String more)
            throws InterruptedException {
        String body = "{\"specification\":\"" + specification + "\",\"steps\":" + steps + more + "}";
        for (int attempt = 0; attempt < 5; attempt++) {
            if (consumer("POST", prefix + id, key, body).status() == 200) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    /** Returns the state of a job; the empty text when no entry says. */
    String state(String prefix, String id, String key) {
        Reply r = consumer("GET", prefix + id, key, null);
        String body = r.body();
        int at = body.indexOf("\"state\":\"");
        return r.status() == 200 && at >= 0 ? body.substring(at + 9, body.indexOf('"', at + 9)) : "";
    }

    /** Returns the name of the entry that leads, from its metrics; the empty text when none does. */
    String leader() {
        for (String e : fronts.keySet()) {
            String ip = fronts.get(e).substring(0, fronts.get(e).indexOf(':'));
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + ip + ":7010/metrics"))
                    .timeout(Duration.ofSeconds(2))
                    .build();
            try {
                String text = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
                if (text.lines().anyMatch(l -> l.startsWith("pollenreach_scheduler_leader") && l.endsWith(" 1.0"))) {
                    return e;
                }
            } catch (IOException x) {
                record.note("no metrics of " + e);
            } catch (InterruptedException x) {
                throw new IllegalStateException(x);
            }
        }
        return "";
    }

    /** Waits until a job is shown in a state. */
    void awaitState(String prefix, String id, String key, String state, long timeoutMs) throws InterruptedException {
        long endMs = record.nowMs() + timeoutMs;
        while (!state(prefix, id, key).equals(state)) {
            if (record.nowMs() > endMs) {
                throw new CannotRun("not within " + timeoutMs + " ms: " + id + " is " + state);
            }
            Thread.sleep(400);
        }
    }

    void await(String what, long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long endMs = record.nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (record.nowMs() > endMs) {
                throw new CannotRun("not within " + timeoutMs + " ms: " + what);
            }
            Thread.sleep(50);
        }
    }

    @Override
    public void close() {
        nodes.values().forEach(Node::close);
        runners.forEach(Runner::close);
        store.close();
        advisor.close();
        machines.close();
    }

    /** Says that a case could not be played. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    static Path temporaryDirectory() throws IOException {
        return Files.createTempDirectory("pollenreach-review");
    }
}
