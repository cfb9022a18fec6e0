package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.Set;

import com.github.rvesse.airline.annotations.Command;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.agent.AgentDaemon;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.daemon.internal.settings.SettingsFile;

/** Runs an agent. For use by one thread. */
@Command(name = "agent", description = "Runs an agent beside a target until it gets SIGTERM")
public final class AgentCommand extends DaemonCommand<AgentSettings> {
    @Override
    AgentSettings load(Path file) {
        return SettingsFile.loadAgent(file);
    }

    @Override
    Set<String> liveSettings() {
        return AgentSettings.LIVE;
    }

    @Override
    AgentDaemon start(AgentSettings settings) {
        return AgentDaemon.start(settings, Clock.system());
    }
}
