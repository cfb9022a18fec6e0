package third;

import java.util.HashMap;
import java.util.Map;

/** Subtasks that last fail now and then on a service that runs nothing else. */
final class FailingServers implements Case.Body {
    private static final int JOBS = 6;
    private static final long FAILURE_GAP_MS = 5_000;
    private static final int FAILURES = 13;
    private static final long RESTART_MS = 6_000 + 3_000;

    @Override
    public boolean holds(Nodes3 nodes, Log log, boolean trouble) throws Exception {
        new Config3()
                .route("serving", "/serving/", 1, false)
                .tenant("team-a", "key-a", 8)
                .put(nodes, 1);
        nodes.addEntry("e1", "z1");
        nodes.addEntry("e2", "z2");
        nodes.addAgent("a1", "z1", "r1");
        nodes.addAgent("a2", "z2", "r1");
        nodes.awaitReady("key-a", "/serving/");
        for (int i = 0; i < JOBS; i++) {
            nodes.submit("key-a", "/serving/" + id(i), "{\"specification\":\"lasts=1\",\"steps\":[{\"count\":1,"
                    + "\"cpu\":2000,\"requested-memory-mb\":256,\"long-running\":true}]}");
        }
        for (int i = 0; i < JOBS; i++) {
            String id = id(i);
            nodes.await(id + " runs", 10_000, () -> Checks.starts(log, id) > 0);
        }
        Thread.sleep(3_000);
        for (int i = 0; i < FAILURES; i++) {
            if (trouble) {
                nodes.runners.values().forEach(Runner3::failNext);
            }
            Thread.sleep(FAILURE_GAP_MS);
        }
        Thread.sleep(RESTART_MS);
        return longestAwayMs(log) <= RESTART_MS;
    }

    private static String id(int i) {
        return String.format("%016x", 0xa0 + i);
    }

    private static long longestAwayMs(Log log) {
        Map<String, Long> awaySinceMs = new HashMap<>();
        long longest = 0;
        for (Log.Event e : log.runs()) {
            if (e.what().equals("end")) {
                awaySinceMs.put(e.task(), e.atMs());
            } else if (awaySinceMs.containsKey(e.task())) {
                long awayMs = e.atMs() - awaySinceMs.remove(e.task());
                log.line("%s was away for %d ms", e.task(), awayMs);
                longest = Math.max(longest, awayMs);
            }
        }
        for (Map.Entry<String, Long> e : awaySinceMs.entrySet()) {
            log.line("%s is away since %d ms", e.getKey(), log.nowMs() - e.getValue());
            longest = Math.max(longest, log.nowMs() - e.getValue());
        }
        log.line("the longest time away was %d ms; %d ms are allowed", longest, RESTART_MS);
        return longest;
    }
}
