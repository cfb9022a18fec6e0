package third;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration. */
final class Config3 {
    private final List<Object> routes = new ArrayList<>();
    private final List<Object> tenants = new ArrayList<>();

    Config3 route(String name, String prefix, int priority, boolean open) {
        routes.add(J.map(
                "name", name, "host", Web.IP, "path-prefix", prefix, "kind", "unsafe", "timeout-ms", 3000,
                "priority", priority, "service", "pool", "max-attempts", 4, "public", open));
        return this;
    }

    @SuppressWarnings("unchecked")
    Config3 advice(long decisionMs, long perWorkerMs, long validityMs) {
        ((Map<String, Object>) routes.get(routes.size() - 1))
                .put("advice", J.map(
                        "decision-ms", decisionMs, "per-worker-ms", perWorkerMs, "validity-ms", validityMs));
        return this;
    }

    Config3 tenant(String name, String key, int gpu) {
        tenants.add(J.map("name", name, "api-keys", List.of(key), "priority", 1, "guaranteed", J.map("gpu", gpu)));
        return this;
    }

    void put(Nodes3 nodes, int version) {
        String text = J.write(J.map(
                "version", version, "routes", routes,
                "services", List.of(J.map("name", "pool", "health-path", "/health", "rejects-overload", false)),
                "tenants", tenants));
        nodes.store.put("op", "config", text);
        nodes.log.line("config version %d is confirmed", version);
    }
}
