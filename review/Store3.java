package third;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL describes it: rows, transactions and a feed of changes. */
final class Store3 {
    private static final int MAX_ROWS = 500;

    private record Row(String table, String part, String key, String value, long version) {
        Map<String, Object> json() {
            Map<String, Object> m = J.map("table", table, "part", part, "key", key, "version-number", version);
            m.put(value == null ? "deleted" : "value", value == null ? true : value);
            return m;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    final int port;

    Store3() throws Exception {
        port = Web.serve(0, (x, path, query, body) -> answer(path, query, body)).getAddress().getPort();
    }

    private Web.Answer answer(String path, Map<String, String> q, String body) throws Exception {
        switch (path) {
            case "/rows-tx":
                return transact(J.object(body));
            case "/rows-get":
                return get(q);
            case "/rows-feed":
                return feed(q);
            default:
                return new Web.Answer(404, null);
        }
    }

    private static String id(Map<String, Object> n) {
        return J.text(n, "table") + '\0' + J.text(n, "part") + '\0' + J.text(n, "key");
    }

    private Map<String, Object> stamp() {
        return J.map("version-number", version, "now-ms", System.nanoTime() / 1_000_000);
    }

    synchronized Web.Answer transact(Map<String, Object> tx) {
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> c : J.objects(tx.get("expected-revision"))) {
            Row row = rows.get(id(c));
            if ((row == null ? 0 : row.version()) != J.number(c, "version-number")) {
                failed.add(row == null ? c : row.json());
            }
        }
        if (!failed.isEmpty()) {
            Map<String, Object> m = stamp();
            m.put("rows", failed);
            return new Web.Answer(412, m);
        }
        version++;
        for (Map<String, Object> w : J.objects(tx.get("writes"))) {
            apply(w, J.text(w, "value"));
        }
        for (Map<String, Object> w : J.objects(tx.get("remove"))) {
            apply(w, null);
        }
        notifyAll();
        return new Web.Answer(200, stamp());
    }

    private void apply(Map<String, Object> n, String value) {
        Row row = new Row(J.text(n, "table"), J.text(n, "part"), J.text(n, "key"), value, version);
        if (value == null) {
            rows.remove(id(n));
        } else {
            rows.put(id(n), row);
        }
        history.add(row);
    }

    private synchronized Web.Answer get(Map<String, String> q) {
        String prefix = q.get("table") + '\0' + q.getOrDefault("part", "") + '\0';
        String from = q.getOrDefault("from", "");
        String target = q.get("target");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(q.getOrDefault("limit", "500")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Row r : rows.tailMap(prefix + from).values()) {
            boolean inPart = r.table().equals(q.get("table")) && r.part().equals(q.getOrDefault("part", ""));
            if (!inPart || target != null && r.key().compareTo(target) >= 0) {
                break;
            }
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(r.json());
        }
        Map<String, Object> m = stamp();
        m.put("rows", found);
        m.put("has-more", more);
        return new Web.Answer(200, m);
    }

    private synchronized Web.Answer feed(Map<String, String> q) throws InterruptedException {
        long after = Long.parseLong(q.get("after"));
        long endMs = System.nanoTime() / 1_000_000 + Long.parseLong(q.get("wait-ms"));
        while (true) {
            List<Object> changed = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version() > after; i--) {
                if (history.get(i).table().equals(q.get("table"))) {
                    changed.add(0, history.get(i).json());
                }
            }
            long leftMs = endMs - System.nanoTime() / 1_000_000;
            if (!changed.isEmpty() || leftMs <= 0) {
                Map<String, Object> m = stamp();
                m.put("rows", changed);
                return new Web.Answer(200, m);
            }
            wait(leftMs);
        }
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String value) {
        Map<String, Object> w = new LinkedHashMap<>(J.map("table", table, "part", "", "key", key));
        version++;
        apply(w, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Returns the value of a row as text; empty if there is none. */
    synchronized String value(String table, String key) {
        Row row = rows.get(table + '\0' + '\0' + key);
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    /** Returns the row keys of a table. */
    synchronized List<String> keys(String table) {
        return rows.values().stream().filter(r -> r.table().equals(table)).map(Row::key).toList();
    }
}
