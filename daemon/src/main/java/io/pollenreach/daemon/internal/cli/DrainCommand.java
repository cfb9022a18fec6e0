package io.pollenreach.daemon.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.yaml.ValueType;

/** Drains a target. For use by one thread. */
@Command(name = "drain", description = "Gives a target no new work; what runs there goes on")
public final class DrainCommand extends ClientCommand {
    @Arguments(title = "TARGET", description = "The target's name.")
    @Required
    String target;

    @Option(name = "--undo", description = "Gives the target work again.")
    boolean undo;

    @Override
    int run(Console console, ApiClient api) {
        if (!ValueType.isName(target)) {
            throw usage("\"" + target + "\" is not the name of a target.");
        }
        JsonNode answer = api.post("/v1/targets/" + target + (undo ? "/undrain" : "/drain"));
        String done = target + (undo ? " takes work again" : " takes no new work");
        console.out().println(json() ? answer.toPrettyString() : done);
        return ResultCode.OK.exitStatus();
    }
}
