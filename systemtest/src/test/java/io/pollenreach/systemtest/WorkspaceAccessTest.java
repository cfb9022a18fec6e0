package io.pollenreach.systemtest;

import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Each verb on a job, with the keys of others. */
class WorkspaceAccessTest {
    private static final long END_MS = 30_000;
    private static final int OK = 200;
    private static final String JOB = PlatformCluster.id(1);
    private static final String STEPS = "[{\"count\":1,\"gpu\":1}]";
    private static final String BODY = "{\"specification\":\"work=100\",\"steps\":" + STEPS + "}";
    private static PlatformCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = PlatformCluster.start("workspace-access", 1, 1);
        cluster.configure(2, List.of(PlatformCluster.KEY, "key-withdrawn"));
        Await.until("the key is known", END_MS, () -> status("GET", "", "key-withdrawn") == OK);
        cluster.configure(3, List.of(PlatformCluster.KEY));
        Await.until("the key is withdrawn", END_MS, () -> status("GET", "", "key-withdrawn") != OK);
        cluster.submit(JOB, "work=6000", STEPS);
        cluster.awaitState(JOB, "running", END_MS);
    }

    @AfterAll
    static void stop() throws Exception {
        cluster.close();
    }

    private static int status(String method, String id, String key) throws Exception {
        return cluster.call("e1", method, id, method.equals("POST") ? BODY : "", key)
                .statusCode();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, key-of-others, 410",
        "DELETE, key-of-others, 410",
        "POST, key-of-others, 409",
        "GET, key-unknown, 401",
        "DELETE, key-unknown, 401",
        "POST, key-unknown, 401",
        "GET, key-withdrawn, 401",
        "DELETE, key-withdrawn, 401",
        "POST, key-withdrawn, 401",
        "GET, '', 401",
        "DELETE, '', 401",
        "POST, '', 401",
        "GET, key-1, 200",
        "POST, key-1, 200"
    })
    void answersByTheWorkspaceOfTheKey(String method, String key, int expected) throws Exception {
        assertThat(status(method, JOB, key)).isEqualTo(expected);
    }

    @Test
    void answersOthersLikeForAnUnknownId() throws Exception {
        String unknown = cluster.call("e1", "GET", PlatformCluster.id(99), "", PlatformCluster.OTHER_KEY)
                .body();

        assertThat(cluster.call("e1", "GET", JOB, "", PlatformCluster.OTHER_KEY).body())
                .isEqualTo(unknown);
    }

    @Test
    void runsTheJobToItsEndWhateverOthersTry() throws Exception {
        status("DELETE", JOB, PlatformCluster.OTHER_KEY);
        status("POST", JOB, PlatformCluster.OTHER_KEY);

        cluster.awaitState(JOB, "completed", END_MS);
        assertThat(cluster.record().starts(JOB + ".0.0.0")).isEqualTo(1);
    }
}
