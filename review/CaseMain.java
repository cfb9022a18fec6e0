package second;

import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case: {@code second.CaseMain CASE FOLDER}.
 *
 * <p>Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class CaseMain {
    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean broken(ProgramCluster c, boolean trouble) throws Exception;
    }

    // "lowered", "election" and "pace" are trials that the report names; no folder runs them.
    private static final Map<String, Case> CASES = Map.of(
            "lease", new ChangedLease(6_000, 10_000),
            "heartbeat", new OddHeartbeat(),
            "lowered", new ChangedLease(10_000, 6_000),
            "cancel", new LateAccept(),
            "refused", new FalseRefusal(),
            "begun", new NotBegun(),
            "election", new CountAfterElection(),
            "pace", new LatePace());

    /** No case takes longer, in milliseconds. */
    private static final long LIMIT_MS = 115_000;

    private CaseMain() {}

    public static void main(String[] args) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Recorder record = new Recorder();
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
                System.out.println("the case took too long");
                System.exit(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status;
        try (ProgramCluster c = new ProgramCluster(record)) {
            record.log(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            boolean broken = CASES.get(args[0]).broken(c, trouble);
            record.log(broken ? "result: the rule is broken" : "result: the rule is kept");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            record.log("result: the case could not run: " + e);
            e.printStackTrace();
            status = 2;
        }
        record.write(Path.of(args[1], "record.txt"));
        System.exit(status);
    }
}
