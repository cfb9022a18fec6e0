package io.pollenreach.daemon.internal.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpClientResponse;

/** Sends a request to a service. For use by one thread. */
@Command(name = "request", description = "Sends a request to a service and prints the whole answer")
public final class RequestCommand extends ClientCommand {
    private static final long ANSWER_MARGIN_MS = 2_000;

    @Arguments(
            title = {"WORKSPACE", "SERVICE", "PATH"},
            description = "The workspace, the service and the path at the runner.")
    @Required
    List<String> words = new ArrayList<>();

    @Option(name = "--data", title = "BODY", description = "The body, or @FILE to read it from a file.")
    String data = "";

    @Option(name = "--content-type", title = "TYPE", description = "Media type. Default: application/json.")
    String contentType = "application/json";

    @Option(name = "--idempotent", description = "Allows the system to run the request more than once.")
    boolean idempotent;

    @Option(name = "--id", title = "ID", description = "The request's id, unique in the workspace. Default: random.")
    String id;

    @Option(name = "--deadline-ms", title = "MS", description = "How long to wait for the answer. Default: 10000.")
    long deadlineMs = 10_000;

    @Override
    int run(Console console, ApiClient api) throws Exception {
        if (words.size() != 3) {
            throw usage("Write: request WORKSPACE SERVICE PATH.");
        }
        String requestId =
                Optional.ofNullable(id).orElseGet(() -> UUID.randomUUID().toString());
        console.err().println("Request-Id: " + requestId);
        return print(send(api, requestId), console);
    }

    /** Prints a runner's answer, or fails with the system's own code; returns the exit status. */
    static int print(HttpClientResponse reply, Console console) throws IOException {
        Optional<PollenreachException> error =
                reply.resultCode().equals("0") ? Optional.empty() : ApiClient.error(reply);
        if (error.isPresent()) {
            throw error.get();
        }
        console.out().write(reply.body());
        console.out().println();
        return reply.status() < 400 ? ResultCode.OK.exitStatus() : ResultCode.TARGET_FAILED.exitStatus();
    }

    private HttpClientResponse send(ApiClient api, String requestId) throws IOException {
        String path = words.get(2).startsWith("/") ? words.get(2).substring(1) : words.get(2);
        Map<String, String> headers = Map.of(
                "Request-Id",
                requestId,
                "Idempotent",
                Boolean.toString(idempotent),
                "Deadline-Ms",
                Long.toString(deadlineMs),
                "Content-Type",
                contentType);
        ApiClient.Repeat repeat = idempotent ? ApiClient.Repeat.SAFE : ApiClient.Repeat.UNSAFE;
        String target = "/v1/requests/" + words.get(0) + "/" + words.get(1) + "/" + path;
        try {
            return api.send("POST", target, headers, body(), deadlineMs + ANSWER_MARGIN_MS, repeat);
        } catch (PollenreachException e) {
            if (e.code() != ResultCode.PEER_TIMEOUT || idempotent) {
                throw e;
            }
            String hint = "No answer came; ask later with: get request " + words.get(0) + "/" + requestId;
            throw new PollenreachException(ResultCode.OUTCOME_UNKNOWN, null, hint, e);
        }
    }

    private byte[] body() throws IOException {
        if (!data.startsWith("@")) {
            return data.getBytes(StandardCharsets.UTF_8);
        }
        Path file = Path.of(data.substring(1));
        if (!Files.isReadable(file)) {
            throw usage("The file " + file + " can't be read.");
        }
        return Files.readAllBytes(file);
    }
}
