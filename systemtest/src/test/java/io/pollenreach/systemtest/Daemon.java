package io.pollenreach.systemtest;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.pollenreach.Clock;

/**
 * A real daemon that runs as a process of its own and can be started again after its end.
 *
 * <p>Sends signals only to processes that it started. Used by one thread at a time.
 */
final class Daemon implements AutoCloseable {
    private static final String MAIN = "io.pollenreach.daemon.Main";
    private static final String PLATFORM_MAIN = "io.pollenreach.platform.Main";
    private static final String STOPPABLE_MAIN = StoppableThreads.class.getName();
    private static final String ANY_PORT = "0";
    private static final long KILL_WAIT_MS = 5_000;
    /** Several times what a process needs until it handles SIGHUP, in milliseconds. */
    private static final long HANDLER_MS = 3_000;

    private final String name;
    private final List<String> command;
    private final Map<String, String> environment;
    private final File log;
    private final Path settings;
    private final Clock clock = Clock.system();
    private final List<String> firstSettings;
    private Process process;
    private long startedMs;

    /** Creates a daemon, which does not run yet; {@code program} is {@code entry} or {@code agent}. */
    Daemon(String program, String name, Path directory, List<String> settingsLines) throws IOException {
        this(
                name,
                directory,
                directory.resolve(name + ".yaml"),
                settingsLines,
                List.of(
                        MAIN,
                        program,
                        "--settings",
                        directory.resolve(name + ".yaml").toString()),
                Map.of());
    }

    private Daemon(
            String name,
            Path directory,
            Path settings,
            List<String> settingsLines,
            List<String> command,
            Map<String, String> environment)
            throws IOException {
        this.name = name;
        this.command = command;
        this.environment = environment;
        this.settings = settings;
        firstSettings = List.copyOf(settingsLines);
        log = directory.resolve(name + ".log").toFile();
        Files.write(settings, settingsLines);
        Files.deleteIfExists(log.toPath());
    }

    /** Creates a program of the users' platform, with settings in its format. */
    static Daemon onPlatform(String program, String name, Path directory, List<String> settingsLines)
            throws IOException {
        return onPlatform(List.of(PLATFORM_MAIN, program, ANY_PORT), name, directory, settingsLines);
    }

    /** Creates a program as above whose threads {@link #stopThread} can stop. */
    static Daemon onPlatformWithStoppableThreads(
            String program, String name, Path directory, List<String> settingsLines) throws IOException {
        String order = threadToStop(directory, name).toString();
        return onPlatform(List.of(STOPPABLE_MAIN, order, program, ANY_PORT), name, directory, settingsLines);
    }

    private static Daemon onPlatform(List<String> command, String name, Path directory, List<String> settingsLines)
            throws IOException {
        Path settings = directory.resolve(name + ".conf");
        return new Daemon(
                name,
                directory,
                settings,
                settingsLines,
                command,
                Map.of("POLLENREACH_NODE_FILE", settings.toString()));
    }

    private static Path threadToStop(Path directory, String name) {
        return directory.resolve(name + ".thread-to-stop");
    }

    /** Ends one of its threads by an error. */
    void stopThread(String thread) throws IOException {
        Files.writeString(threadToStop(settings.getParent(), name), thread);
    }

    /** Returns its exit status, after its end. */
    int exitStatus() {
        return process.exitValue();
    }

    String name() {
        return name;
    }

    void start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // A JVM leaves SIGHUP ignored if it was started so, as by nohup; the test of that signal must not depend on it.
        List<String> words = new ArrayList<>(
                List.of("env", "--default-signal=HUP", java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().putAll(environment);
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        startedMs = clock.nowMs();
        process = builder.start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** Kills it at once, as when its VM fails. */
    void kill() throws InterruptedException {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        process.waitFor(KILL_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Asks it to shut down gracefully. */
    void terminate() {
        process.destroy();
    }

    /** Waits for its end; returns false when it still runs. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Pauses it, as when its VM is paused. */
    void freeze() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Lets it run on after a freeze. */
    void thaw() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Sends SIGHUP, as when its settings file has changed. */
    void hangUp() throws IOException, InterruptedException {
        signal("-HUP");
    }

    /**
     * Adds lines to its first settings, in place of those added before, and sends SIGHUP if it has run for long enough to
     * have a handler; without one it takes the file over by itself.
     */
    void changeSettings(List<String> added) throws IOException, InterruptedException {
        List<String> lines = new ArrayList<>(firstSettings);
        lines.addAll(added);
        writeSettings(lines);
        if (alive() && clock.nowMs() - startedMs > HANDLER_MS) {
            hangUp();
        }
    }

    /** Lets it write the stacks of all its threads to its log. */
    void dumpThreads() throws IOException, InterruptedException {
        signal("-QUIT");
    }

    /** Returns the TCP sockets that the kernel shows to it, one a line, with ports and states in hexadecimal. */
    List<String> sockets() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "net", "tcp"));
    }

    /** Returns the lines of its settings file. */
    List<String> settings() throws IOException {
        return Files.readAllLines(settings);
    }

    /** Replaces the lines of its settings file. */
    void writeSettings(List<String> lines) throws IOException {
        Files.write(settings, lines);
    }

    /** Returns its log. */
    String log() throws IOException {
        return Files.readString(log.toPath());
    }

    private void signal(String signal) throws IOException, InterruptedException {
        if (!alive()) {
            throw new IllegalStateException(name + " does not run");
        }
        new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
