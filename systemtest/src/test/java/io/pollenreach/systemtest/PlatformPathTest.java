package io.pollenreach.systemtest;

import java.net.http.HttpResponse;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The platform's path on a calm day. */
class PlatformPathTest {
    private static final long END_MS = 30_000;
    private static PlatformCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = PlatformCluster.start("platform-path", 2, 3);
    }

    @AfterAll
    static void stop() throws Exception {
        assertThat(cluster.record().violations()).isEmpty();
        cluster.close();
    }

    @Test
    void runsTheStepsOfAJobInOrder() throws Exception {
        String id = PlatformCluster.id(1);
        cluster.submit(id, "work=200", "[{\"count\":3,\"gpu\":1},{\"count\":2,\"gpu\":1,\"after\":[0]}]");

        cluster.awaitState(id, "completed", END_MS);
        assertThat(cluster.record().starts(id + ".0.1.1")).isEqualTo(1);
    }

    @Test
    void startsAGangOverSeveralWorkers() throws Exception {
        String id = PlatformCluster.id(2);
        cluster.submit(id, "work=300", "[{\"count\":2,\"gpu\":8,\"cpu\":20000,\"gang\":true,\"same-rack\":true}]");

        cluster.awaitState(id, "completed", END_MS);
    }

    @Test
    void triesATaskAgainThatFailsAndGivesUpInTheEnd() throws Exception {
        String passes = PlatformCluster.id(3);
        String fails = PlatformCluster.id(4);
        cluster.submit(passes, "work=100 fails=2", "[{\"count\":1,\"gpu\":1}]");
        cluster.submit(fails, "work=100 fails=9", "[{\"count\":1,\"gpu\":1}]");

        cluster.awaitState(passes, "completed", END_MS);
        cluster.awaitState(fails, "failed", END_MS);
        assertThat(cluster.record().starts(fails + ".0.0.0")).isEqualTo(3);
    }

    @Test
    void cancelsAJobWhereverItStands() throws Exception {
        String id = PlatformCluster.id(5);
        cluster.submit(id, "work=60000", "[{\"count\":2,\"gpu\":1}]");
        cluster.awaitState(id, "running", END_MS);

        assertThat(cluster.call("e2", "DELETE", id, "", PlatformCluster.KEY).statusCode())
                .isEqualTo(200);
        cluster.awaitState(id, "cancelled", END_MS);
    }

    // Only 429 and 503 tell a submitter that the job never runs; there is no time at which it should come back.
    @Test
    void refusesAJobThatWasCancelledBeforeItCame() throws Exception {
        String id = PlatformCluster.id(7);
        assertThat(cluster.call("e1", "DELETE", id, "", PlatformCluster.KEY).statusCode())
                .isEqualTo(410);

        HttpResponse<String> refused = cluster.call(
                "e2",
                "POST",
                id,
                "{\"specification\":\"work=100\",\"steps\":[{\"count\":1,\"gpu\":1}]}",
                PlatformCluster.KEY);

        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.headers().firstValue("Retry-After")).isEmpty();
        assertThat(cluster.call("e1", "GET", id, "", PlatformCluster.KEY).statusCode())
                .isEqualTo(410);
    }

    // No worker has as many accelerators, so the job waits until it is cancelled.
    @Test
    void countsAJobAsWaitingUntilAWorkerHasStartedIt() throws Exception {
        String id = PlatformCluster.id(8);
        cluster.submit(id, "work=60000", "[{\"count\":1,\"gpu\":9}]");

        Await.until("the job is counted", END_MS, () -> cluster.call("e1", "GET", "", "", PlatformCluster.KEY)
                .body()
                .equals("{\"pending\":1}"));
        assertThat(cluster.state(id)).contains("queued");
        cluster.call("e1", "DELETE", id, "", PlatformCluster.KEY);
        Await.until("the job is counted no more", END_MS, () -> cluster.call("e1", "GET", "", "", PlatformCluster.KEY)
                .body()
                .equals("{\"pending\":0}"));
    }

    @Test
    void takesAJobThatIsSubmittedTwiceAsOne() throws Exception {
        String id = PlatformCluster.id(6);
        cluster.submit(id, "work=100", "[{\"count\":1,\"gpu\":1}]");
        cluster.submit(id, "work=100", "[{\"count\":1,\"gpu\":1}]");

        cluster.awaitState(id, "completed", END_MS);
        assertThat(cluster.record().starts(id + ".0.0.0")).isEqualTo(1);
    }

    @Test
    void tellsWhatItDoesNotKnow() throws Exception {
        assertThat(cluster.call("e1", "GET", PlatformCluster.id(99), "", PlatformCluster.KEY)
                        .statusCode())
                .isEqualTo(410);
        assertThat(cluster.call("e1", "DELETE", PlatformCluster.id(99), "", PlatformCluster.KEY)
                        .statusCode())
                .isEqualTo(410);
        assertThat(cluster.call("e1", "GET", PlatformCluster.id(99), "", "other")
                        .statusCode())
                .isEqualTo(401);
        assertThat(cluster.call("e1", "GET", "not-an-id", "", PlatformCluster.KEY)
                        .statusCode())
                .isEqualTo(404);
        assertThat(cluster.call("e1", "POST", PlatformCluster.id(98), "{\"steps\":7}", PlatformCluster.KEY)
                        .statusCode())
                .isEqualTo(400);
    }

    @Test
    void dropsAKeyThatIsTakenAway() throws Exception {
        cluster.configure(2, List.of(PlatformCluster.KEY, "key-2"));
        Await.until(
                "key-2 is known",
                END_MS,
                () -> cluster.call("e1", "GET", "", "", "key-2").statusCode() == 200);

        cluster.configure(3, List.of(PlatformCluster.KEY));

        Await.until(
                "key-2 is dropped",
                END_MS,
                () -> cluster.call("e1", "GET", "", "", "key-2").statusCode() == 401);
    }
}
