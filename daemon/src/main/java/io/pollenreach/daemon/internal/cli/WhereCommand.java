package io.pollenreach.daemon.internal.cli;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.DeclarationFiles;
import io.pollenreach.daemon.internal.declare.Kind;

/** Explains where jobs or a request would go now, without submitting or sending them. For use by one thread. */
@Command(name = "where", description = "Explains where jobs or a request would go now, and why; sends nothing")
public final class WhereCommand extends ClientCommand {
    private static final String JOB = "job";
    private static final String REQUEST = "request";

    @Arguments(
            title = {"job|request", "WORKSPACE", "SERVICE", "PATH"},
            description = "job with --file, or request with the workspace, the service and, if its service time"
                    + " matters, the path at the runner.")
    @Required
    List<String> words = new ArrayList<>();

    @Option(
            name = {"-f", "--file"},
            title = "FILE",
            description = "Declarations of jobs, as for submit: a YAML file or a directory.")
    String file;

    @Override
    int run(Console console, ApiClient api) {
        boolean job = words.get(0).equals(JOB) && words.size() == 1 && file != null;
        boolean request = words.get(0).equals(REQUEST) && (words.size() == 3 || words.size() == 4) && file == null;
        if (!job && !request) {
            throw usage("Write: where job -f FILE, or where request WORKSPACE SERVICE [PATH].");
        }
        return job ? jobs(console, api) : print(api.get(requestPath()), console);
    }

    private int jobs(Console console, ApiClient api) {
        int status = ResultCode.OK.exitStatus();
        for (Declaration d : DeclarationFiles.read(Path.of(file))) {
            if (d.kind() != Kind.JOB) {
                throw usage(d.title() + " is not a job.");
            }
            status = Math.max(status, job(d, console, api));
        }
        return status;
    }

    private int job(Declaration d, Console console, ApiClient api) {
        try {
            return print(api.post("/v1/where/jobs/" + d.key(), d.envelope()), console);
        } catch (PollenreachException e) {
            return Errors.reportOne(d, e, console);
        }
    }

    private String requestPath() {
        String path = "/v1/where/requests/" + words.get(1) + "/" + words.get(2);
        return words.size() == 3 ? path : path + "?path=" + URLEncoder.encode(words.get(3), StandardCharsets.UTF_8);
    }

    /** Prints an answer; returns the exit status, which is that of the refusal if there is one. */
    private int print(JsonNode answer, Console console) {
        if (json()) {
            console.out().println(answer.toPrettyString());
        } else {
            printText(answer, console.out());
        }
        return Errors.code(answer.path("code").asInt())
                .map(ResultCode::exitStatus)
                .orElse(ResultCode.INTERNAL.exitStatus());
    }

    private static void printText(JsonNode answer, PrintStream out) {
        int code = answer.path("code").asInt();
        String title = answer.path("job")
                .asText(answer.path("workspace").asText() + "/"
                        + answer.path("service").asText());
        out.println(title + ": " + answer.path("decision").asText() + (code == 0 ? "" : " " + code) + ", "
                + answer.path("reason").asText());
        TextTable facts = new TextTable("KEY", "VALUE");
        answer.fields().forEachRemaining(f -> {
            if (!f.getKey().equals("candidates") && !f.getKey().equals("reason")) {
                StatusCommand.addRow(f.getKey(), f.getValue(), facts);
            }
        });
        facts.print(out);
        if (answer.path("candidates").isEmpty()) {
            return;
        }
        out.println();
        candidates(answer.path("candidates")).print(out);
    }

    private static TextTable candidates(JsonNode candidates) {
        TextTable table = new TextTable("TARGET", "ZONE", "FREE", "OF", "HEARD-MS-AGO", "VERDICT", "WHY");
        for (JsonNode c : candidates) {
            boolean worker = c.has("worker");
            int of = c.path(worker ? "accelerators" : "slots").asInt();
            int free = worker
                    ? c.path("free").asInt()
                    : Math.max(0, of - c.path("inUse").asInt());
            table.add(List.of(
                    c.path(worker ? "worker" : "runner").asText(),
                    c.path("zone").asText(),
                    Integer.toString(free),
                    Integer.toString(of),
                    c.path("heardMsAgo").asText("-"),
                    c.path("verdict").asText(),
                    c.path("why").asText()));
        }
        return table;
    }
}
