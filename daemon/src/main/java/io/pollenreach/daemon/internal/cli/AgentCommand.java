package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.agent.AgentDaemon;
import io.pollenreach.daemon.internal.settings.SettingsFile;

/** Runs an agent. For use by one thread. */
@Command(name = "agent", description = "Runs an agent beside a target until it gets SIGTERM")
public final class AgentCommand extends DaemonCommand {
    @Override
    AutoCloseable start(Path file) throws Exception {
        return AgentDaemon.start(SettingsFile.loadAgent(file), Clock.system());
    }
}
