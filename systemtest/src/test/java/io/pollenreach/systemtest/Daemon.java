package io.pollenreach.systemtest;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A real daemon that runs as a process of its own and can be started again after its end.
 *
 * <p>Sends signals only to processes that it started. Used by one thread at a time.
 */
final class Daemon implements AutoCloseable {
    private static final String MAIN = "io.pollenreach.daemon.Main";
    private static final long KILL_WAIT_MS = 5_000;

    private final String program;
    private final String name;
    private final Path settings;
    private final File log;
    private Process process;

    /** Creates a daemon, which does not run yet; {@code program} is {@code entry} or {@code agent}. */
    Daemon(String program, String name, Path directory, List<String> settingsLines) throws IOException {
        this.program = program;
        this.name = name;
        settings = directory.resolve(name + ".yaml");
        log = directory.resolve(name + ".log").toFile();
        Files.write(settings, settingsLines);
        Files.deleteIfExists(log.toPath());
    }

    String name() {
        return name;
    }

    void start() throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                java,
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                MAIN,
                program,
                "--settings",
                settings.toString());
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
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
