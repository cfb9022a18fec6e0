package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Settings files change and processes get SIGHUP, in series and at once, while jobs run: nothing ends or is cut. */
class SettingsReloadTest {
    private static final long END_MS = 60_000;
    private static final long LOG_MS = 20_000;
    private static final int ROUNDS = 3;
    private static final String STEPS = "[{\"count\":2,\"gpu\":1},{\"count\":2,\"gpu\":1,\"gang\":true,\"after\":[0]}]";

    private static void awaitLog(Daemon daemon, String text) throws InterruptedException {
        Await.until(daemon.name() + " logs " + text, LOG_MS, () -> daemon.log().contains(text));
    }

    @Test
    void outlivesSignalsWhileJobsRun() throws Exception {
        try (PlatformCluster cluster = PlatformCluster.start("outlivesSignalsWhileJobsRun", 2, 3)) {
            List<String> names = new ArrayList<>(cluster.agents());
            names.addAll(cluster.entries());
            List<String> ids = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                String id = PlatformCluster.id(100 + round);
                ids.add(id);
                cluster.submit(id, "work=700", STEPS);
                for (String name : names) {
                    cluster.daemon(name).hangUp();
                    assertThat(cluster.call("e1", "GET", id, "", PlatformCluster.KEY)
                                    .statusCode())
                            .isEqualTo(200);
                }
            }
            for (String id : ids) {
                cluster.awaitState(id, "completed", END_MS);
            }

            assertThat(cluster.record().violations()).isEmpty();
            for (String name : names) {
                assertThat(cluster.daemon(name).alive()).as(name).isTrue();
                awaitLog(cluster.daemon(name), "event=settings-unchanged");
            }
        }
    }

    @Test
    void keepsItsSettingsWhenTheFileIsHalfWritten() throws Exception {
        try (PlatformCluster cluster = PlatformCluster.start("keepsItsSettingsWhenTheFileIsHalfWritten", 1, 1)) {
            Daemon entry = cluster.daemon("e1");
            List<String> whole = entry.settings();
            entry.writeSettings(whole.subList(0, 2));
            entry.hangUp();
            awaitLog(entry, "event=settings-rejected");
            assertThat(entry.log()).contains("code=1003");
            cluster.submit(PlatformCluster.id(1), "work=300", STEPS);

            List<String> changed = new ArrayList<>(whole);
            changed.add("bounds.grace-period-s=5");
            entry.writeSettings(changed);
            awaitLog(entry, "event=settings-reloaded");
            assertThat(entry.log()).contains("signalled=false applied=[graceMs]");
            cluster.awaitState(PlatformCluster.id(1), "completed", END_MS);
        }
    }

    @Test
    void changesTheOperatorsTokenWithoutARestart() throws Exception {
        try (Cluster cluster = Cluster.start("changesTheOperatorsToken", 1, 1, 1, 7)) {
            Daemon entry = cluster.daemon("e1");
            Daemon agent = cluster.daemon("w1");
            agent.hangUp();
            awaitLog(agent, "event=settings-unchanged");
            List<String> changed = new ArrayList<>(entry.settings());
            changed.replaceAll(
                    l -> l.startsWith("operatorTokenSha256") ? "operatorTokenSha256: " + "f0".repeat(32) : l);
            changed.replaceAll(l -> l.startsWith("zone:") ? "zone: elsewhere" : l);
            entry.writeSettings(changed);
            entry.hangUp();
            awaitLog(entry, "event=settings-need-restart");

            assertThat(entry.log()).contains("applied=[operatorTokenSha256]").contains("code=1011");
            assertThat(cluster.api().status(cluster.entry(1), "/v1/targets")).isEqualTo(401);
            assertThat(entry.alive()).isTrue();
            assertThat(agent.alive()).isTrue();
        }
    }
}
