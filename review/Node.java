package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command that the deploy file gives for its role. */
final class Node implements AutoCloseable {
    final String name;
    private final String role;
    private final Path settings;
    private final File log;
    private final RunRecord record;
    private Process process;

    Node(String name, String role, Path directory, List<String> lines, RunRecord record) throws IOException {
        this.name = name;
        this.role = role;
        this.record = record;
        settings = directory.resolve(name + ".conf");
        log = directory.resolve(name + ".log").toFile();
        Files.write(settings, lines);
    }

    private static List<String> command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!m.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return List.of(m.group(1).split(" "));
    }

    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command(role));
        Map<String, String> environment = b.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("POLLENREACH_NODE_FILE", settings.toString());
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = b.start();
        record.note(role + " " + name + " starts");
    }

    void kill() throws InterruptedException {
        record.note(role + " " + name + " is killed");
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Stops it as a freeze of its machine does, or lets it go on. */
    void signal(String signal) throws IOException, InterruptedException {
        record.note(role + " " + name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the lines of its log that contain a text. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log.toPath()).stream().filter(l -> l.contains(text)).toList();
    }

    @Override
    public void close() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }
}
