package third;

import java.util.List;

/** What the runners saw of jobs. */
final class Checks {
    private Checks() {}

    static long starts(Log log, String job) {
        return log.runs(job).stream().filter(e -> e.what().equals("start")).count();
    }

    /** Tells whether any accepted job has not been started by any runner, and records how many. */
    static boolean allStarted(Log log, List<String> jobs) {
        List<String> missing = jobs.stream().filter(j -> starts(log, j) == 0).toList();
        log.line("%d of %d accepted jobs have not begun: %s", missing.size(), jobs.size(), missing);
        return missing.isEmpty();
    }

    /** Returns how many subtasks run now on all runners. */
    static int running(Nodes3 nodes) {
        return nodes.runners.values().stream().mapToInt(Runner3::runningNow).sum();
    }
}
