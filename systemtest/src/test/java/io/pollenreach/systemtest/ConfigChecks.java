package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.systemtest.Violation.Check;

/**
 * Checks that configuration never reverts, against what processes reported.
 *
 * <p>Immutable.
 */
final class ConfigChecks {
    private final List<ConfigSeen> seen;

    ConfigChecks(List<ConfigSeen> seen) {
        this.seen =
                seen.stream().sorted(Comparator.comparingLong(ConfigSeen::atMs)).toList();
    }

    /** Checks that no process goes back to an older version, over its restarts too. */
    List<Violation> neverReverts() {
        List<Violation> found = new ArrayList<>();
        Map<String, Long> newest = new HashMap<>();
        for (ConfigSeen s : seen) {
            long before = newest.merge(s.process(), s.version(), Math::max);
            if (s.version() < before) {
                String detail = "version " + s.version() + " came after " + before;
                found.add(new Violation(Check.CONFIG_NEVER_REVERTS, s.process(), detail));
            }
        }
        return found;
    }

    /** Checks that from some time on every process has at least a version that was in force everywhere by then. */
    List<Violation> neverBelow(long version, long fromMs) {
        return seen.stream()
                .filter(s -> s.atMs() >= fromMs && s.version() < version)
                .map(s -> new Violation(
                        Check.CONFIG_NEVER_REVERTS, s.process(), s.version() + " after " + version + " was in force"))
                .toList();
    }
}
