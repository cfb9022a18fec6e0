package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.entry.EntryDaemon;
import io.pollenreach.daemon.internal.settings.SettingsFile;

/** Runs an entry. For use by one thread. */
@Command(name = "entry", description = "Runs an entry until it gets SIGTERM")
public final class EntryCommand extends DaemonCommand {
    @Override
    AutoCloseable start(Path file) throws Exception {
        return EntryDaemon.start(SettingsFile.loadEntry(file), Clock.system());
    }
}
