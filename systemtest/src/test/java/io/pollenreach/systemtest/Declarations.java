package io.pollenreach.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenreach.Urgency;

/** Makes declarations for the resource API. Stateless. */
final class Declarations {
    private static final int MAX_ACCELERATORS = 1_000;
    private static final int MAX_WAITING_REQUESTS = 500;

    private Declarations() {}

    /** Declares a workspace that guarantees one shape, or none for 0 parts. */
    static JsonNode workspace(String name, int parts, int acceleratorsPerPart) {
        ObjectNode envelope = envelope("Workspace", name);
        ObjectNode spec = envelope.putObject("spec")
                .put("maxAccelerators", MAX_ACCELERATORS)
                .put("share", 1)
                .put("maxWaitingRequests", MAX_WAITING_REQUESTS)
                .put("tokenSha256", Cluster.sha256(Api.tokenOf(name)));
        ArrayNode guarantees = spec.putArray("guarantees");
        if (parts > 0) {
            guarantees.add(shape(parts, acceleratorsPerPart));
        }
        return envelope;
    }

    /** Declares a restartable job of normal urgency. */
    static JsonNode job(String workspace, String name, int parts, int acceleratorsPerPart, String command) {
        return job(workspace, name, Urgency.NORMAL, parts, acceleratorsPerPart, command);
    }

    /** Declares a restartable job. */
    static JsonNode job(
            String workspace, String name, Urgency urgency, int parts, int acceleratorsPerPart, String command) {
        ObjectNode envelope = envelope("Job", name).put("workspace", workspace);
        envelope.putObject("spec")
                .put("urgency", urgency.name())
                .put("declaredMs", 1_000)
                .put("restartable", true)
                .put("maxAttempts", 50)
                .put("command", command)
                .set("shape", shape(parts, acceleratorsPerPart));
        return envelope;
    }

    private static ObjectNode envelope(String kind, String name) {
        return JsonNodeFactory.instance.objectNode().put("kind", kind).put("name", name);
    }

    private static ObjectNode shape(int parts, int acceleratorsPerPart) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("parts", parts)
                .put("acceleratorsPerPart", acceleratorsPerPart)
                .put("adjacency", "ANY");
    }
}
