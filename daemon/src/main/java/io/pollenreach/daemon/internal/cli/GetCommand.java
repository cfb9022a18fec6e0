package io.pollenreach.daemon.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;

/** Shows resources. For use by one thread. */
@Command(name = "get", description = "Shows workspaces, policies, jobs, targets or the answer to a request")
public final class GetCommand extends ClientCommand {
    @Arguments(
            title = {"KIND", "NAME"},
            description = "workspaces, policies, jobs, targets or request, and a name; jobs and requests are named"
                    + " WORKSPACE/NAME.")
    @Required
    List<String> words = new ArrayList<>();

    @Option(name = "--workspace", title = "NAME", description = "Lists only the jobs of this workspace.")
    String workspace;

    @Override
    int run(Console console, ApiClient api) throws Exception {
        if (words.size() > 2) {
            throw usage("Give a kind and at most one name.");
        }
        View view = View.of(words.get(0))
                .orElseThrow(
                        () -> usage("\"" + words.get(0) + "\" is not workspaces, policies, jobs, targets or request."));
        if (view == View.REQUESTS) {
            return RequestCommand.print(api.read(path(view)), console);
        }
        JsonNode answer = api.get(path(view));
        if (json()) {
            console.out().println(answer.toPrettyString());
            return ResultCode.OK.exitStatus();
        }
        view.table(items(answer)).print(console.out());
        return ResultCode.OK.exitStatus();
    }

    private String path(View view) {
        String base = "/v1/" + view.collection();
        if (words.size() == 2) {
            return base + "/" + words.get(1);
        }
        if (view == View.REQUESTS) {
            throw usage("Name the request as WORKSPACE/ID.");
        }
        return view == View.JOBS && workspace != null ? base + "?workspace=" + workspace : base;
    }

    private static Iterable<JsonNode> items(JsonNode answer) {
        if (answer.isArray()) {
            return answer;
        }
        return List.of(answer);
    }
}
