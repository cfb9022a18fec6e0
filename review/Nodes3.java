package third;

import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entries and agents of the project as separate processes, with the commands of the deploy file. */
final class Nodes3 implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final int PORTS_EACH = 64;
    final Path root;
    final Path dir;
    final Log log;
    final Store3 store;
    final Map<String, Process> processes = new LinkedHashMap<>();
    final Map<String, String> fronts = new LinkedHashMap<>();
    final Map<String, Runner3> runners = new LinkedHashMap<>();
    final Map<String, Proxy3> proxies = new LinkedHashMap<>();
    private boolean proxied;
    private final Map<String, Path> files = new LinkedHashMap<>();
    private final Map<String, String> roles = new LinkedHashMap<>();

    Nodes3(Path root, Path dir, Log log) throws Exception {
        this.root = root;
        this.dir = dir;
        this.log = log;
        store = new Store3();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    private static int nextPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * PORTS_EACH % PORTS);

    /**
     * Returns a free port below those that the system gives to outgoing channels. None is returned twice, and scripts that
     * run at the same time begin at different ones, as a process takes its port only after it has started.
     */
    static int freePort() throws Exception {
        while (true) {
            int port = nextPort;
            nextPort = FIRST_PORT + (port + 1 - FIRST_PORT) % PORTS;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(Web.IP))) {
                return s.getLocalPort();
            } catch (BindException e) {
                // Somebody uses it.
            }
        }
    }

    private List<String> command(String role) throws Exception {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!m.find()) {
            throw new IllegalStateException("no role " + role + " in the deploy file");
        }
        List<String> words = new ArrayList<>(List.of(m.group(1).split(" ")));
        // The last word is the port of the metrics; all processes share one address here.
        words.set(words.size() - 1, Integer.toString(freePort()));
        return words;
    }

    void addEntry(String name, String zone, String... more) throws Exception {
        String front = Web.IP + ":" + freePort();
        fronts.put(name, front);
        List<String> lines = common(name, zone, "front");
        lines.add("listen-addresses.front=" + front);
        lines.add("listen-addresses.readiness=" + Web.IP + ":" + freePort());
        lines.addAll(List.of(more));
        add(name, "entry", lines);
    }

    void addAgent(String name, String zone, String rack) throws Exception {
        String control = Web.IP + ":" + freePort();
        Runner3 r = new Runner3("i-" + name, zone, rack, log);
        runners.put(name, r);
        List<String> lines = common(name, zone, "side");
        lines.add("listen-addresses.control=" + control);
        lines.add("app=" + r.address());
        add(name, "agent", lines);
        r.start(control);
    }

    private List<String> common(String name, String zone, String machineClass) throws Exception {
        return new ArrayList<>(List.of(
                "node-name=" + name, "role=" + (machineClass.equals("front") ? "entry" : "agent"),
                "machine-class=" + machineClass, "ip-address=" + Web.IP, "zone=" + zone, "region=pt-sul",
                "platform.address=" + storeAddress(name), "platform.form=table", "platform.row-bytes=65536",
                "platform.history-s=20", "bounds.max-hold-ms=6000", "bounds.revocation-ms=5000",
                "bounds.strict-revocation=true", "bounds.contact-timeout-ms=3000", "bounds.ack-timeout-ms=4000",
                "bounds.grace-period-s=6", "bounds.drain-timeout-ms=2000", "bounds.stop-timeout-ms=400",
                "bounds.gang-timeout-ms=3000", "bounds.config-apply-ms=2000", "bounds.reclaim-ms=2900", "bounds.recovery-s=12", "bounds.finish_s=14",
                "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.status_s=120",
                "limits.memory-mb=430", "orders=call"));
    }

    /** Puts a proxy between each process that is added from now on and the store. */
    void proxyStore() {
        proxied = true;
    }

    private String storeAddress(String name) throws Exception {
        if (!proxied) {
            return Web.IP + ":" + store.port;
        }
        Proxy3 p = new Proxy3(store.port);
        proxies.put(name, p);
        return p.address();
    }

    private void add(String name, String role, List<String> lines) throws Exception {
        Path f = dir.resolve(name + ".conf");
        Files.write(f, lines);
        files.put(name, f);
        roles.put(name, role);
        start(name);
    }

    void start(String name) throws Exception {
        ProcessBuilder b = new ProcessBuilder(command(roles.get(name)));
        b.directory(root.toFile());
        Map<String, String> env = b.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("POLLENREACH_NODE_FILE", files.get(name).toString());
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve(name + ".log").toFile()));
        processes.put(name, b.start());
    }

    void signal(String name, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
        log.line("signal %s to %s", signal, name);
    }

    /** An answer; the status is 0 if there was none. */
    record Reply(int status, String body) {}

    /** Calls an entry and records the call. */
    Reply call(String entry, String key, String method, String path, String body, long timeoutMs) {
        Reply r = quietCall(entry, key, method, path, body, timeoutMs);
        String shown = body.length() > 250 ? body.substring(0, 250) + "..." : body;
        log.line("%s %s %s %s -> %s %s", entry, method, path, shown, r.status() == 0 ? "no answer" : r.status(), r.body());
        return r;
    }

    Reply quietCall(String entry, String key, String method, String path, String body, long timeoutMs) {
        try {
            String[] headers = key.isEmpty() ? new String[0] : new String[] {"Authorization", "Bearer " + key};
            var a = Web.call(fronts.get(entry), method, path, body, timeoutMs, headers);
            return new Reply(a.statusCode(), a.body());
        } catch (Exception e) {
            return new Reply(0, e.toString());
        }
    }

    /** Hands a job in, at another entry after each refusal, as consumers do; tells whether it was accepted. */
    boolean submit(String key, String path, String body) throws Exception {
        List<String> entries = List.copyOf(fronts.keySet());
        for (int i = 0; i < 5; i++) {
            if (call(entries.get(i % entries.size()), key, "POST", path, body, 3_000).status() == 200) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Returns the entry that the store names as the leader. */
    String leader() {
        String row = store.value("leader", "term");
        return fronts.keySet().stream().filter(e -> row.contains("\"" + e + "\"")).findFirst().orElseThrow();
    }

    /** Waits until all runners are known to the store and all entries are in force. */
    void awaitReady(String key, String countPath) throws Exception {
        await("all runners are registered", 30_000, () -> store.keys("workers").size() == runners.size());
        for (String e : fronts.keySet()) {
            await(e + " serves", 30_000, () -> quietCall(e, key, "GET", countPath, "", 2_000).status() == 200);
        }
        Thread.sleep(2_000);
    }

    void await(String what, long timeoutMs, BooleanSupplier done) throws Exception {
        long end = log.nowMs() + timeoutMs;
        while (!done.getAsBoolean()) {
            if (log.nowMs() > end) {
                throw new IllegalStateException("not within " + timeoutMs + " ms: " + what);
            }
            Thread.sleep(50);
        }
        log.line("reached: %s", what);
    }

    @Override
    public void close() throws Exception {
        for (Process p : processes.values()) {
            p.destroyForcibly();
        }
        for (Process p : processes.values()) {
            p.waitFor();
        }
    }
}
