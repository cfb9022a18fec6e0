package io.pollenreach.bench.emulator;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.daemon.internal.http.HttpListener;
import io.pollenreach.daemon.internal.http.HttpServerRequest;
import io.pollenreach.daemon.internal.http.HttpServerResponse;

/**
 * The platform's list of machines, which may leave out a machine whose worker process is up.
 *
 * <p>Safe for use by many threads.
 */
public final class EmulatedMachines implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 10;
    private static final int OK = 200;

    private final Set<String> instances = new TreeSet<>();
    private final HttpListener server;

    /** Starts an empty list on a free port of an address. */
    public EmulatedMachines(String ip) {
        server = HttpListener.start(ip + ":0", 1, MAX_BODY_BYTES, this::answer);
    }

    /** Returns the port on which it listens. */
    public int port() {
        return server.port();
    }

    /** Adds the machine of a worker process. */
    public synchronized void add(String instance) {
        instances.add(instance);
    }

    /** Leaves out the machine of a worker process from now on. */
    public synchronized void remove(String instance) {
        instances.remove(instance);
    }

    private synchronized CompletableFuture<HttpServerResponse> answer(HttpServerRequest call) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode machines = body.putArray("machines");
        instances.forEach(i ->
                machines.addObject().put("machine", "m-" + i).put("state", "up").put("identifier", i));
        return CompletableFuture.completedFuture(HttpServerResponse.of(OK, body));
    }

    @Override
    public void close() {
        server.close();
    }
}
