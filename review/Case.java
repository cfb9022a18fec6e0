package third;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case, or the trial {@code silent}: {@code Case NAME ROOT FOLDER}. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Case {
    interface Body {
        /** Runs the case; tells whether the rule held. */
        boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception;
    }

    private Case() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Body body = switch (args[0]) {
            case "11" -> new OldSchedule();
            case "12" -> new ManySmall();
            case "13" -> new LentGuarantee();
            case "14" -> new LateTickets();
            case "15" -> new FailingServers();
            case "silent" -> new SilentChannels();
            default -> throw new IllegalArgumentException("no case " + args[0]);
        };
        Path temp = Files.createTempDirectory("review-" + args[0] + "-");
        Log log = new Log(Path.of(args[2], "record.txt"));
        int exit = 2;
        try (Nodes3 nodes = new Nodes3(Path.of(args[1]), temp, log)) {
            boolean held = body.holds(nodes, log, trouble);
            log.line("%s", held ? "the rule held" : "the rule was broken");
            exit = held ? 0 : 1;
        } catch (Exception e) {
            log.line("the case could not run: %s", e);
        } finally {
            if (System.getenv("KEEP_LOGS") == null) {
                try (Stream<Path> files = Files.list(temp)) {
                    List<Path> all = files.toList();
                    for (Path f : all) {
                        Files.delete(f);
                    }
                }
                Files.delete(temp);
            } else {
                log.line("logs are in %s", temp);
            }
        }
        System.exit(exit);
    }
}
