package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.ArrayList;
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

/** Submits jobs. For use by one thread. */
@Command(name = "submit", description = "Submits jobs; submitting the same again changes nothing")
public final class SubmitCommand extends ClientCommand {
    @Option(
            name = {"-f", "--file"},
            title = "FILE",
            description = "Declarations of jobs: a YAML file or a directory.")
    @Required
    String file;

    @Option(name = "--wait", description = "Follows the jobs until all have ended.")
    boolean wait;

    @Override
    int run(Console console, ApiClient api) throws Exception {
        List<Declaration> jobs = DeclarationFiles.read(Path.of(file));
        Optional<Declaration> other =
                jobs.stream().filter(d -> d.kind() != Kind.JOB).findFirst();
        if (other.isPresent()) {
            throw usage(other.get().title() + " is not a job; use apply for it.");
        }
        List<Declaration> accepted = new ArrayList<>();
        int status = ResultCode.OK.exitStatus();
        for (Declaration job : jobs) {
            int one = submit(job, console, api);
            status = Math.max(status, one);
            if (one == ResultCode.OK.exitStatus()) {
                accepted.add(job);
            }
        }
        return wait ? Math.max(status, follow(accepted, console, api)) : status;
    }

    private int submit(Declaration job, Console console, ApiClient api) {
        try {
            JsonNode row = api.put(job.path(), job.envelope(), Optional.empty());
            if (!json()) {
                long version = row.path("version").asLong();
                console.out().println(job.title() + " accepted, version " + version);
            }
            return ResultCode.OK.exitStatus();
        } catch (PollenreachException e) {
            return Errors.reportOne(job, e, console);
        }
    }

    private int follow(List<Declaration> jobs, Console console, ApiClient api) throws InterruptedException {
        JobWatch watch = new JobWatch(
                api, json() ? console.err() : console.out(), Clock.system(), WatchCommand.SILENCE_TIMEOUT_MS);
        int status = ResultCode.OK.exitStatus();
        for (Declaration job : jobs) {
            JsonNode ended = watch.follow(job.path());
            status = Math.max(status, JobWatch.exitStatus(ended));
            if (json()) {
                console.out().println(ended.toPrettyString());
            }
        }
        return status;
    }
}
