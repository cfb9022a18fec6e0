package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;

import io.pollenreach.Clock;
import io.pollenreach.bench.standin.PlatformFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** An accepted configuration is in force everywhere within seconds and never reverts. */
@Timeout(90)
class ConfigurationTest {
    private static final long IN_FORCE_TIMEOUT_MS = 10_000;
    private static final int CHANGES = 5;
    private static final int ENTRIES = 3;

    private final List<ConfigSeen> seen = new ArrayList<>();

    @Test
    void entryStartedDuringAnOutageTakesTheConfigurationOfItsPeers() throws Exception {
        try (Cluster cluster = Cluster.start("config-outage", ENTRIES, 0, 1, 41)) {
            for (int i = 0; i < CHANGES; i++) {
                cluster.addWorkspace("shop-" + (char) ('a' + i));
                look(cluster);
            }
            long version = seen.stream().mapToLong(ConfigSeen::version).max().orElseThrow();
            assertThat(version).isPositive();
            awaitVersion(cluster, version);
            long fromMs = Clock.system().nowMs();

            cluster.platform().setFaults(new PlatformFaults(true, 0, 0, 41, null, false));
            cluster.daemon("e2").kill();
            cluster.daemon("e2").start();
            awaitVersion(cluster, version);
            look(cluster);
            cluster.platform().setFaults(new PlatformFaults(false, 0, 0, 41, null, false));
            cluster.addWorkspace("shop-z");
            awaitVersion(cluster, version + 1);
            look(cluster);

            ConfigChecks checks = new ConfigChecks(seen);
            assertThat(checks.neverReverts()).isEmpty();
            assertThat(checks.neverBelow(version, fromMs)).isEmpty();
        }
    }

    private void awaitVersion(Cluster cluster, long version) throws InterruptedException {
        for (int i = 1; i <= ENTRIES; i++) {
            int entry = i;
            Await.until("version " + version + " at e" + i, IN_FORCE_TIMEOUT_MS, () -> {
                ConfigSeen now = cluster.configSeen(entry);
                // An entry that is not ready yet has no configuration in force.
                return now.version() >= version;
            });
        }
    }

    private void look(Cluster cluster) {
        for (int i = 1; i <= ENTRIES; i++) {
            seen.add(cluster.configSeen(i));
        }
    }
}
