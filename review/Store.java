package review;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The platform's metadata store as PROTOCOL.md describes it, without disruptions: transactions, reads and feeds, with
 * the limits of the page on entries, bytes of a call and bytes of a row. Thread-safe.
 */
final class Store implements AutoCloseable {
    static final int ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int PAGE_ROWS = 500;
    private static final long TX_LATENCY_MS = 3;

    private record Row(String table, String part, String key, String value, long version) {
        ObjectNode json() {
            ObjectNode n = Http.JSON.createObjectNode();
            n.put("table", table).put("part", part).put("key", key).put("version-number", version);
            return value == null ? n.put("deleted", true) : n.put("value", value);
        }
    }

    private final RunRecord record;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Http http;
    private long version;
    private int tooLarge;

    Store(String ip, int port, RunRecord record) throws Exception {
        this.record = record;
        http = new Http(ip, port, this::answer);
    }

    private Http.Answer answer(Http.Call call) throws Exception {
        switch (call.path()) {
            case "/rows-tx":
                Thread.sleep(TX_LATENCY_MS);
                return transact(call);
            case "/rows-get":
                return get(call);
            case "/rows-feed":
                return feed(call);
            default:
                return new Http.Answer(404, null);
        }
    }

    private synchronized Http.Answer transact(Http.Call call) throws Exception {
        JsonNode tx = call.body();
        int entries = tx.path("expected-revision").size() + tx.path("writes").size() + tx.path("remove").size();
        if (call.bytes().length > MAX_CALL_BYTES || entries > MAX_ENTRIES) {
            return refused("a call of " + call.bytes().length + " bytes with " + entries + " entries");
        }
        Set<String> parts = new HashSet<>(tx.findValuesAsText("part"));
        if (parts.size() > 1 && !tx.path("cross-partition").asBoolean()) {
            return refused("several parts without cross-partition");
        }
        for (JsonNode w : tx.path("writes")) {
            if (w.path("table").asText().equals("op") || w.path("table").asText().equals("servers")) {
                return new Http.Answer(403, stamp());
            }
            int size = Base64.getDecoder().decode(w.path("value").asText()).length;
            if (size > ROW_BYTES) {
                tooLarge++;
                return refused("the row " + w.path("table").asText() + "/" + w.path("key").asText() + " of " + size
                        + " bytes; row-bytes is " + ROW_BYTES);
            }
        }
        ArrayNode failed = Http.JSON.createArrayNode();
        for (JsonNode c : tx.path("expected-revision")) {
            Row row = rows.get(id(c));
            if ((row == null ? 0 : row.version()) != c.path("version-number").asLong()) {
                failed.add(row == null ? c : row.json());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode body = stamp();
            body.set("rows", failed);
            return new Http.Answer(412, body);
        }
        version++;
        tx.path("writes").forEach(w -> apply(row(w, w.path("value").asText())));
        tx.path("remove").forEach(w -> apply(row(w, null)));
        notifyAll();
        return new Http.Answer(200, stamp());
    }

    private Http.Answer refused(String why) {
        if (tooLarge <= 3) {
            record.note("store refuses a transaction with 400: " + why);
        }
        return new Http.Answer(400, stamp().put("reason", why));
    }

    private Row row(JsonNode n, String value) {
        return new Row(n.path("table").asText(), n.path("part").asText(), n.path("key").asText(), value, version);
    }

    private void apply(Row row) {
        String id = row.table() + '\0' + row.part() + '\0' + row.key();
        if (row.value() == null) {
            rows.remove(id);
        } else {
            rows.put(id, row);
        }
        history.add(row);
    }

    private static String id(JsonNode n) {
        return n.path("table").asText() + '\0' + n.path("part").asText() + '\0' + n.path("key").asText();
    }

    private synchronized Http.Answer get(Http.Call call) {
        String prefix = call.parameter("table") + '\0' + call.parameter("part") + '\0';
        String to = call.parameter("target");
        int limit = call.parameter("limit").isEmpty() ? PAGE_ROWS : Integer.parseInt(call.parameter("limit"));
        ObjectNode body = stamp();
        ArrayNode found = body.putArray("rows");
        boolean more = false;
        long bytes = 0;
        for (Row r : rows.tailMap(prefix + call.parameter("from")).values()) {
            boolean inside = (r.table() + '\0' + r.part() + '\0').equals(prefix) && (to.isEmpty() || r.key().compareTo(to) < 0);
            if (!inside) {
                break;
            }
            if (found.size() >= Math.min(limit, PAGE_ROWS) || bytes > MAX_CALL_BYTES) {
                more = true;
                break;
            }
            bytes += r.value().length();
            found.add(r.json());
        }
        return new Http.Answer(200, body.put("has-more", more));
    }

    private synchronized Http.Answer feed(Http.Call call) throws InterruptedException {
        String table = call.parameter("table");
        long after = Long.parseLong(call.parameter("after"));
        long endNs = System.nanoTime() + Math.min(30_000, Long.parseLong(call.parameter("wait-ms"))) * 1_000_000;
        while (true) {
            List<Row> changed =
                    history.stream().filter(r -> r.version() > after && r.table().equals(table)).toList();
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                ObjectNode body = stamp();
                ArrayNode list = body.putArray("rows");
                changed.forEach(r -> list.add(r.json()));
                return new Http.Answer(200, body);
            }
            wait(leftMs);
        }
    }

    private ObjectNode stamp() {
        return Http.JSON.createObjectNode().put("version-number", version).put("now-ms", record.nowMs());
    }

    /** Writes a row of the operator. */
    synchronized void put(String table, String key, String value) {
        version++;
        apply(new Row(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(java.nio.charset.StandardCharsets.UTF_8)), version));
        notifyAll();
        record.note("operator writes " + table + "/" + key);
    }

    /** Returns how many transactions were refused for the size of a row. */
    synchronized int refusedForSize() {
        return tooLarge;
    }

    /** Returns the values of a table's rows, decoded. */
    synchronized List<String> values(String table) {
        return rows.values().stream()
                .filter(r -> r.table().equals(table))
                .map(r -> new String(Base64.getDecoder().decode(r.value()), java.nio.charset.StandardCharsets.UTF_8))
                .toList();
    }

    @Override
    public void close() {
        http.close();
    }
}
