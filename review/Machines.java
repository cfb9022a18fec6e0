package review;

import java.util.function.Supplier;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's list of machines, all of them up, each with its runner. Thread-safe. */
final class Machines implements AutoCloseable {
    private final Http http;

    Machines(String ip, int port, Supplier<List<String>> runners) throws Exception {
        http = new Http(ip, port, call -> {
            ObjectNode body = Http.JSON.createObjectNode();
            ArrayNode list = body.putArray("machines");
            for (String id : runners.get()) {
                ObjectNode m = list.addObject();
                m.put("machine", "m-" + id).put("pool", Cluster.POOL).put("state", "up").put("zone", "setubal");
                m.putArray("labels").add("a").add("r1-1");
                m.putObject("capacity").put("cpu", Runner.CPU).put("requested-memory-mb", Runner.MEMORY_MB).put("gpu", Runner.GPU);
                m.put("identifier", id);
            }
            return new Http.Answer(200, body.putNull("next-token"));
        });
    }

    @Override
    public void close() {
        http.close();
    }
}
