package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/** Plays one case: exits with 0 when the rule held, with 1 when it was broken, with 2 when the case could not run. */
public final class Main {
    private static final long LONGEST_MS = 110_000;

    /** A case; returns whether the rule held. */
    interface Case {
        boolean holds(RunRecord record, Path directory, boolean trouble) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
            "large-row", LargeRow::holds,
            "reborn-runner", RebornRunner::holds,
            "lost-occurrence", LostOccurrence::holds,
            "hopeless-claim", HopelessClaim::holds,
            "unconfirmed-leave", UnconfirmedLeave::holds);

    private Main() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Cluster.temporaryDirectory();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly)));
        int status = 2;
        try (RunRecord record = new RunRecord(Path.of(args[1]))) {
            Thread watchdog = new Thread(() -> endLate(record));
            watchdog.setDaemon(true);
            watchdog.start();
            record.note("case " + args[0] + (trouble ? "" : " without the disruption"));
            try {
                boolean held = CASES.get(args[0]).holds(record, directory, trouble);
                record.note(held ? "the rule held" : "THE RULE WAS BROKEN");
                status = held ? 0 : 1;
            } catch (Exception e) {
                record.note("the case could not run: " + e);
            }
        } finally {
            remove(directory);
        }
        System.exit(status);
    }

    private static void endLate(RunRecord record) {
        try {
            Thread.sleep(LONGEST_MS);
        } catch (InterruptedException e) {
            return;
        }
        record.note("the case could not run: it took too long");
        ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly);
        Runtime.getRuntime().halt(2);
    }

    private static void remove(Path directory) throws IOException {
        try (Stream<Path> all = Files.walk(directory)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
