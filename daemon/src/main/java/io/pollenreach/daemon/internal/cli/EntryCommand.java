package io.pollenreach.daemon.internal.cli;

import java.nio.file.Path;
import java.util.Set;

import com.github.rvesse.airline.annotations.Command;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.entry.EntryDaemon;
import io.pollenreach.daemon.internal.settings.EntrySettings;
import io.pollenreach.daemon.internal.settings.SettingsFile;

/** Runs an entry. For use by one thread. */
@Command(name = "entry", description = "Runs an entry until it gets SIGTERM")
public final class EntryCommand extends DaemonCommand<EntrySettings> {
    @Override
    EntrySettings load(Path file) {
        return SettingsFile.loadEntry(file);
    }

    @Override
    Set<String> liveSettings() {
        return EntrySettings.LIVE;
    }

    @Override
    EntryDaemon start(EntrySettings settings) throws Exception {
        return EntryDaemon.start(settings, Clock.system());
    }
}
