package io.pollenreach.daemon.internal.cli;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.daemon.internal.log.LogSetup;

/** A command that calls the resource API. For use by one thread. */
abstract class ClientCommand extends BaseCommand {
    private static final String SERVER_VARIABLE = "POLLENREACH_SERVER";
    private static final String TOKEN_VARIABLE = "POLLENREACH_TOKEN";

    @Option(
            name = "--server",
            title = "URI",
            description = "Servers, separated by commas, such as http://10.0.0.1:7080; the next one is tried when one"
                    + " does not answer. Default: the environment variable POLLENREACH_SERVER.")
    String server;

    @Option(
            name = "--token",
            title = "TOKEN",
            description = "Access token. Default: the environment variable POLLENREACH_TOKEN.")
    String token;

    @Option(
            name = {"-o", "--output"},
            title = "FORMAT",
            description = "table or json. Default: table.")
    String output = "table";

    @Override
    final int run(Console console) throws Exception {
        if (!output.equals("table") && !output.equals("json")) {
            throw usage("--output must be table or json, not \"" + output + "\".");
        }
        LogSetup.silence();
        try (ApiClient api = new ApiClient(servers(console), token(console))) {
            return run(console, api);
        }
    }

    /** Runs the command against the servers; returns the exit status. */
    abstract int run(Console console, ApiClient api) throws Exception;

    boolean json() {
        return output.equals("json");
    }

    private List<URI> servers(Console console) {
        String text = Optional.ofNullable(server)
                .or(() -> Optional.ofNullable(console.environment().get(SERVER_VARIABLE)))
                .orElseThrow(() -> usage("Name a server with --server or " + SERVER_VARIABLE + "."));
        List<URI> found = new ArrayList<>();
        for (String part : text.split(",")) {
            found.add(serverUri(part.trim()));
        }
        return found;
    }

    private static URI serverUri(String text) {
        String base = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
        try {
            URI uri = URI.create(base);
            if (!"http".equals(uri.getScheme()) || uri.getPort() < 0) {
                throw usage("\"" + text + "\" is not like http://10.0.0.1:7080.");
            }
            return uri;
        } catch (IllegalArgumentException e) {
            throw usage("\"" + text + "\" is not a URI.");
        }
    }

    private String token(Console console) {
        return Optional.ofNullable(token)
                .or(() -> Optional.ofNullable(console.environment().get(TOKEN_VARIABLE)))
                .orElseThrow(() -> usage("Give a token with --token or " + TOKEN_VARIABLE + "."));
    }

    static UsageException usage(String detail) {
        return new UsageException(detail);
    }

    /** Splits an argument of the form WORKSPACE/NAME. */
    static String jobPath(String argument) {
        if (!argument.matches("[a-z][a-z0-9-]*/[a-z][a-z0-9-]*")) {
            throw usage("Write the job as WORKSPACE/NAME; found \"" + argument + "\".");
        }
        return "/v1/jobs/" + argument;
    }
}
