package io.pollenreach.daemon.internal.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.Clock;

/** Follows a job. For use by one thread. */
@Command(name = "watch", description = "Follows a job until it has ended; the exit status tells how")
public final class WatchCommand extends ClientCommand {
    static final long SILENCE_TIMEOUT_MS = 60_000;

    @Arguments(
            title = {"job", "WORKSPACE/NAME"},
            description = "The word job, and the job.")
    @Required
    List<String> words = new ArrayList<>();

    @Option(
            name = "--silence-timeout-ms",
            title = "MS",
            description = "Gives up when no server answered for so long. Default: 60000.")
    long silenceTimeoutMs = SILENCE_TIMEOUT_MS;

    @Override
    int run(Console console, ApiClient api) throws Exception {
        if (words.size() != 2
                || View.of(words.get(0)).filter(v -> v == View.JOBS).isEmpty()) {
            throw usage("Write: watch job WORKSPACE/NAME.");
        }
        String path = jobPath(words.get(1));
        JobWatch watch = new JobWatch(api, json() ? console.err() : console.out(), Clock.system(), silenceTimeoutMs);
        JsonNode job = watch.follow(path);
        if (json()) {
            console.out().println(job.toPrettyString());
        }
        return JobWatch.exitStatus(job);
    }
}
