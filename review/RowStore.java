package second;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import second.MiniHttp.Answer;
import second.MiniHttp.Call;

/**
 * The platform's metadata store, as PROTOCOL.md describes it: rows in tables and parts, transactions, reads, the feed.
 *
 * <p>Each process reaches it at an address of its own, so that a case can disturb the calls of one. Thread-safe.
 */
final class RowStore {
    /** Decides what becomes of a call of a process; {@code perform} carries it out and returns the answer. */
    interface Disturbance {
        Answer handle(String process, Call call, Performer perform) throws Exception;
    }

    /** Carries out a call. */
    interface Performer {
        Answer perform() throws Exception;
    }

    /** A row; without a value when it was removed. */
    record Row(String table, String part, String key, String value, long version) {}

    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE = 500;
    private static final int OPERATOR_ONLY = 403;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long startNs = System.nanoTime();
    private final Map<String, MiniHttp> servers = new ConcurrentHashMap<>();
    private long version;
    volatile Disturbance disturbance = (process, call, perform) -> perform.perform();

    /** Opens an address for a process; returns its port. */
    int open(String process, String ip) throws Exception {
        MiniHttp server = new MiniHttp(ip, call -> disturbance.handle(process, call, () -> answer(call)));
        servers.put(process, server);
        return server.port();
    }

    /** Lets all open connections of a process carry nothing any more; new ones work. */
    void silenceOpenConnections(String process) {
        servers.get(process).silenceOpenConnections();
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String value) {
        version++;
        apply(new Row(table, "", key, base64(value), version));
        notifyAll();
    }

    /** Returns the text of a row; null if there is none. */
    synchronized String value(String table, String part, String key) {
        Row row = rows.get(id(table, part, key));
        return row == null ? null : text(row.value());
    }

    /** Returns the row of a table with a key, whatever its part; null if there is none. */
    synchronized Row row(String table, String key) {
        return rows.values().stream()
                .filter(r -> r.table().equals(table) && r.key().equals(key))
                .findFirst()
                .orElse(null);
    }

    synchronized long count(String table) {
        return rows.values().stream().filter(r -> r.table().equals(table)).count();
    }

    static String text(String base64) {
        return new String(java.util.Base64.getDecoder().decode(base64), java.nio.charset.StandardCharsets.UTF_8);
    }

    private static String base64(String text) {
        return java.util.Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    private static String id(String table, String part, String key) {
        return table + '\u0000' + part + '\u0000' + key;
    }

    private static String id(JsonNode n) {
        return id(n.path("table").asText(), n.path("part").asText(), n.path("key").asText());
    }

    private void apply(Row row) {
        if (row.value() == null) {
            rows.remove(id(row.table(), row.part(), row.key()));
        } else {
            rows.put(id(row.table(), row.part(), row.key()), row);
        }
        history.add(row);
    }

    private Answer answer(Call call) throws Exception {
        switch (call.path()) {
            case "/rows-tx":
                Thread.sleep(3);
                return transact(JSON.readTree(call.body()));
            case "/rows-get":
                Thread.sleep(2);
                return get(call);
            case "/rows-feed":
                return feed(call);
            default:
                return Answer.of(404, "");
        }
    }

    private ObjectNode stamp() {
        return JSON.createObjectNode()
                .put("version-number", version)
                .put("now-ms", (System.nanoTime() - startNs) / 1_000_000);
    }

    private static ObjectNode json(Row r) {
        ObjectNode n = JSON.createObjectNode()
                .put("table", r.table())
                .put("part", r.part())
                .put("key", r.key())
                .put("version-number", r.version());
        return r.value() == null ? n.put("deleted", true) : n.put("value", r.value());
    }

    synchronized Answer transact(JsonNode tx) {
        ObjectNode conflict = stamp();
        ArrayNode current = conflict.putArray("rows");
        boolean holds = true;
        for (JsonNode c : tx.path("expected-revision")) {
            Row row = rows.get(id(c));
            holds &= (row == null ? 0 : row.version()) == c.path("version-number").asLong();
            if (row != null) {
                current.add(json(row));
            }
        }
        if (!holds) {
            return Answer.of(412, conflict.toString());
        }
        for (JsonNode w : tx.path("writes")) {
            if (List.of("op", "servers").contains(w.path("table").asText())) {
                return Answer.of(OPERATOR_ONLY, "");
            }
        }
        version++;
        for (JsonNode w : tx.path("writes")) {
            apply(new Row(
                    w.path("table").asText(),
                    w.path("part").asText(),
                    w.path("key").asText(),
                    w.path("value").asText(),
                    version));
        }
        for (JsonNode w : tx.path("remove")) {
            apply(new Row(w.path("table").asText(), w.path("part").asText(), w.path("key").asText(), null, version));
        }
        notifyAll();
        return Answer.of(200, stamp().toString());
    }

    private synchronized Answer get(Call call) {
        String from = call.query().getOrDefault("from", "");
        String target = call.query().get("target");
        int limit = Math.min(PAGE, Integer.parseInt(call.query().getOrDefault("limit", "" + PAGE)));
        ObjectNode body = stamp();
        ArrayNode found = body.putArray("rows");
        boolean more = false;
        for (Row r : rows.values()) {
            boolean fits = r.table().equals(call.query().get("table"))
                    && r.part().equals(call.query().getOrDefault("part", ""))
                    && r.key().compareTo(from) >= 0
                    && (target == null || r.key().compareTo(target) < 0);
            if (fits && found.size() == limit) {
                more = true;
                break;
            }
            if (fits) {
                found.add(json(r));
            }
        }
        return Answer.of(200, body.put("has-more", more).toString());
    }

    private synchronized Answer feed(Call call) throws InterruptedException {
        String table = call.query().get("table");
        long after = Long.parseLong(call.query().get("after"));
        long endMs = System.currentTimeMillis() + Long.parseLong(call.query().getOrDefault("wait-ms", "0"));
        while (true) {
            ObjectNode body = stamp();
            ArrayNode changed = body.putArray("rows");
            history.stream()
                    .filter(r -> r.version() > after && r.table().equals(table))
                    .forEach(r -> changed.add(json(r)));
            long leftMs = endMs - System.currentTimeMillis();
            if (!changed.isEmpty() || leftMs <= 0) {
                return Answer.of(200, body.toString());
            }
            wait(leftMs);
        }
    }
}
