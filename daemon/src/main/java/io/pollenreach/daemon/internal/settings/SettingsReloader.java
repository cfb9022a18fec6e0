package io.pollenreach.daemon.internal.settings;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.yaml.ProblemsException;

/**
 * Follows the settings file of a daemon, which may change with or without a SIGHUP.
 *
 * <p>Invariants: a file that cannot be read, or whose settings fail a check, changes nothing; a file is read only once
 * its content has settled, so that one that is being written counts as one change. Safe for use by many threads; the
 * daemon is called by one thread of the reloader's own.
 *
 * <pre>{@code
 * HangupSignal hangup = HangupSignal.install();
 * SettingsReloader<EntrySettings> reloader =
 *         new SettingsReloader<>(file, SettingsFile::loadEntry, EntrySettings.LIVE, hangup);
 * reloader.start(EntryDaemon.start(reloader.settings(), clock));
 * }</pre>
 *
 * @param <T> the settings
 */
public final class SettingsReloader<T extends Record> implements AutoCloseable {
    /** Pause between looks for a change that no signal announced, in milliseconds. */
    static final long CHECK_INTERVAL_MS = 2_000;

    /** How long the content of a changed file must stay the same before it is used, in milliseconds. */
    static final long SETTLE_MS = 100;

    private static final Events EVENTS = Events.of(SettingsReloader.class);

    private final Path file;
    private final Function<Path, T> loader;
    private final Set<String> live;
    private final HangupSignal hangup;
    private byte[] content;
    private volatile T settings;
    private volatile Thread thread;
    private volatile boolean closed;

    /**
     * Reads the settings for the first time; fails as the loader does.
     *
     * @param file the settings file
     * @param loader reads and checks the file
     * @param live the names of the settings that take effect without a restart
     * @param hangup tells of signals
     */
    public SettingsReloader(Path file, Function<Path, T> loader, Set<String> live, HangupSignal hangup) {
        this.file = file;
        this.loader = loader;
        this.live = live;
        this.hangup = hangup;
        // Read before the settings are, so that a change between the two is found at the first check.
        content = contentOrEmpty();
        settings = loader.apply(file);
    }

    /** Returns the settings in force. */
    public T settings() {
        return settings;
    }

    /** Starts to pass changes on to a daemon. */
    public void start(ReloadableDaemon<T> daemon) {
        Thread t = new Thread(() -> follow(daemon), "settings");
        t.setDaemon(true);
        thread = t;
        t.start();
    }

    private void follow(ReloadableDaemon<T> daemon) {
        try {
            while (true) {
                boolean signalled = hangup.await(CHECK_INTERVAL_MS);
                check(signalled, daemon);
            }
        } catch (InterruptedException e) {
            if (!closed) {
                throw new IllegalStateException("the settings reloader was interrupted", e);
            }
        }
    }

    private void check(boolean signalled, ReloadableDaemon<T> daemon) throws InterruptedException {
        byte[] read = contentOrEmpty();
        if (Arrays.equals(read, content)) {
            if (signalled) {
                EVENTS.info("settings-unchanged", "file", file, "signalled", true);
            }
            return;
        }
        Thread.sleep(SETTLE_MS);
        if (!Arrays.equals(read, contentOrEmpty())) {
            hangup.request();
            return;
        }
        content = read;
        try {
            reload(daemon, signalled);
        } catch (RuntimeException e) {
            // The thread must outlive whatever a file or a daemon does.
            PollenreachException failure = e instanceof ProblemsException p ? p.first() : PollenreachException.of(e);
            EVENTS.warn(
                    "settings-rejected",
                    "file",
                    file,
                    "signalled",
                    signalled,
                    "code",
                    failure.code().number(),
                    "error",
                    failure.getMessage());
        }
    }

    private void reload(ReloadableDaemon<T> daemon, boolean signalled) {
        T next = loader.apply(file);
        List<String> changed = changedFields(settings, next);
        List<String> applied = changed.stream().filter(live::contains).toList();
        if (!applied.isEmpty()) {
            settings = withLiveSettingsOf(next);
            daemon.reload(settings);
        }
        EVENTS.info("settings-reloaded", "file", file, "signalled", signalled, "applied", applied);
        List<String> waiting = changed.stream().filter(f -> !live.contains(f)).toList();
        if (!waiting.isEmpty()) {
            EVENTS.warn(
                    "settings-need-restart",
                    "code",
                    ResultCode.RESTART_REQUIRED.number(),
                    "file",
                    file,
                    "fields",
                    waiting);
        }
    }

    private static <T extends Record> List<String> changedFields(T before, T after) {
        List<String> changed = new ArrayList<>();
        for (RecordComponent c : before.getClass().getRecordComponents()) {
            if (!Objects.equals(value(c, before), value(c, after))) {
                changed.add(c.getName());
            }
        }
        return changed;
    }

    private T withLiveSettingsOf(T next) {
        RecordComponent[] components = next.getClass().getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = Arrays.stream(components)
                .map(c -> value(c, live.contains(c.getName()) ? next : settings))
                .toArray();
        try {
            @SuppressWarnings("unchecked")
            T merged = (T) next.getClass().getDeclaredConstructor(types).newInstance(values);
            return merged;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(next.getClass().getSimpleName() + " has no public constructor", e);
        }
    }

    private static Object value(RecordComponent component, Object of) {
        try {
            return component.getAccessor().invoke(of);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("the setting " + component.getName() + " has no public accessor", e);
        }
    }

    private byte[] contentOrEmpty() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            // The loader then fails with the reason.
            return new byte[0];
        }
    }

    @Override
    public void close() {
        closed = true;
        Thread t = thread;
        if (t != null) {
            t.interrupt();
        }
    }
}
