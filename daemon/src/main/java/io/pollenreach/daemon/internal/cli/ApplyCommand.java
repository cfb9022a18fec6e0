package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.Declaration;
import io.pollenreach.daemon.internal.declare.DeclarationFiles;
import io.pollenreach.daemon.internal.declare.Kind;

/**
 * Makes resources as declared.
 *
 * <p>Invariant: a resource is written only at the version whose differences were shown. For use by one thread.
 */
@Command(name = "apply", description = "Makes resources as declared; shows the differences first")
public final class ApplyCommand extends ClientCommand {
    private static final long POLL_PAUSE_MS = 200;
    private static final String IN_FORCE = "IN_FORCE";

    @Option(
            name = {"-f", "--file"},
            title = "FILE",
            description = "Declarations: a YAML file or a directory.")
    @Required
    String file;

    @Option(name = "--dry-run", description = "Shows the differences and writes nothing.")
    boolean dryRun;

    @Option(name = "--wait", description = "Waits until workspaces and policies are in force everywhere.")
    boolean wait;

    @Option(
            name = "--wait-timeout-ms",
            title = "MS",
            description = "How long --wait waits for each resource. Default: 60000.")
    long waitTimeoutMs = 60_000;

    @Override
    int run(Console console, ApiClient api) throws Exception {
        List<Declaration> declarations = DeclarationFiles.read(Path.of(file));
        List<Change> changes =
                declarations.stream().map(d -> Change.of(d, api.find(d.path()))).toList();
        changes.forEach(c -> console.out().println(c.text()));
        if (dryRun) {
            return ResultCode.OK.exitStatus();
        }
        int status = ResultCode.OK.exitStatus();
        for (Change change : changes) {
            status = Math.max(status, write(change, console, api));
        }
        if (wait && status == ResultCode.OK.exitStatus()) {
            for (Declaration declaration : declarations) {
                awaitInForce(declaration, console, api);
            }
        }
        return status;
    }

    private static int write(Change change, Console console, ApiClient api) {
        if (!change.needed()) {
            return ResultCode.OK.exitStatus();
        }
        Declaration declaration = change.declaration();
        try {
            JsonNode written = put(change, api);
            console.out()
                    .println(declaration.title() + " applied, version "
                            + written.path("version").asLong());
            return ResultCode.OK.exitStatus();
        } catch (PollenreachException e) {
            return Errors.reportOne(declaration, e, console);
        }
    }

    private static JsonNode put(Change change, ApiClient api) {
        Declaration declaration = change.declaration();
        try {
            return api.put(declaration.path(), declaration.envelope(), Optional.of(change.version()));
        } catch (PollenreachException e) {
            if (e.code() != ResultCode.CONFLICT) {
                throw e;
            }
            // A repeated write meets its own first copy when only the answer was lost.
            JsonNode now = api.get(declaration.path());
            if (Change.of(declaration, Optional.of(now)).needed()) {
                throw e;
            }
            return now;
        }
    }

    private void awaitInForce(Declaration declaration, Console console, ApiClient api) throws InterruptedException {
        if (declaration.kind() == Kind.JOB) {
            return;
        }
        long deadlineMs = Clock.system().nowMs() + waitTimeoutMs;
        while (true) {
            String state = api.get(declaration.path()).at("/status/state").asText();
            if (state.equals(IN_FORCE)) {
                console.out().println(declaration.title() + " in force");
                return;
            }
            if (Clock.system().nowMs() > deadlineMs) {
                throw new PollenreachException(
                        ResultCode.DEADLINE_PASSED, declaration.title() + " is still " + state + ".");
            }
            Thread.sleep(POLL_PAUSE_MS);
        }
    }
}
