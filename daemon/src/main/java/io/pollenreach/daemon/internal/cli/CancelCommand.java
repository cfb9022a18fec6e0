package io.pollenreach.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;

/** Cancels a job. For use by one thread. */
@Command(name = "cancel", description = "Cancels a job")
public final class CancelCommand extends ClientCommand {
    @Arguments(title = "WORKSPACE/NAME", description = "The job.")
    @Required
    String job;

    @Override
    int run(Console console, ApiClient api) {
        JsonNode answer = api.post(jobPath(job) + "/cancel");
        console.out()
                .println(
                        json()
                                ? answer.toPrettyString()
                                : job + " " + answer.at("/status/state").asText("cancelling"));
        return ResultCode.OK.exitStatus();
    }
}
