package io.pollenreach.systemtest;

import java.util.ArrayList;
import java.util.List;

import io.pollenreach.daemon.internal.store.Tables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;

import static org.assertj.core.api.Assertions.assertThat;

/** Every accepted job reaches its end, and nothing runs twice, whatever fails on the platform. */
class PlatformFaultsTest {
    private static final long END_MS = 60_000;
    private static final int JOBS = 6;
    /** How late the store carries out a write that it left unanswered, in milliseconds. */
    private static final long LATE_MS = 3_000;

    private static final String STEPS = "[{\"count\":2,\"gpu\":1},{\"count\":2,\"gpu\":1,\"gang\":true,\"after\":[0]}]";
    private PlatformCluster cluster;

    @BeforeEach
    void start(TestInfo test) throws Exception {
        cluster = PlatformCluster.start(test.getTestMethod().orElseThrow().getName(), 2, 3);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private List<String> submitJobs(int from) throws Exception {
        List<String> ids = new ArrayList<>();
        for (int i = from; i < from + JOBS; i++) {
            ids.add(PlatformCluster.id(i));
            cluster.submit(PlatformCluster.id(i), "work=700", STEPS);
        }
        return ids;
    }

    private void awaitEnds(List<String> ids) throws Exception {
        for (String id : ids) {
            cluster.awaitState(id, "completed", END_MS);
        }
        assertThat(cluster.record().violations()).isEmpty();
    }

    @Test
    void outlivesTheLeader() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.daemon("e1").kill();
        ids.addAll(submitJobs(200));
        cluster.daemon("e1").start();
        cluster.daemon("e2").kill();

        awaitEnds(ids);
    }

    @Test
    void goesOnWithAWorkerWhoseAgentWasKilled() throws Exception {
        List<String> ids = submitJobs(100);
        for (String agent : cluster.agents()) {
            cluster.daemon(agent).kill();
        }
        for (String agent : cluster.agents()) {
            cluster.daemon(agent).start();
        }

        awaitEnds(ids);
    }

    @Test
    void placesTheWorkOfADeadWorkerElsewhere() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.daemon("a1").kill();

        awaitEnds(ids);
    }

    @Test
    void keepsItsPromisesWhenEverythingDiesAtOnce() throws Exception {
        List<String> ids = submitJobs(100);
        List<String> all = new ArrayList<>(cluster.agents());
        all.addAll(cluster.entries());
        for (String name : all) {
            cluster.daemon(name).kill();
        }
        for (String name : all) {
            cluster.daemon(name).start();
        }

        awaitEnds(ids);
    }

    @Test
    void waitsForAStoreThatRefuses() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.store().setRefusing(true);
        Thread.sleep(3_000);
        cluster.store().setRefusing(false);

        awaitEnds(ids);
    }

    @Test
    void copesWithWritesWhoseAnswersAreLost() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.store().loseAnswers(6, 0);
        ids.addAll(submitJobs(200));
        cluster.store().loseAnswers(6, 2_500);
        ids.addAll(submitJobs(300));

        awaitEnds(ids);
    }

    // Guards against a job that starts after its cancelling was confirmed (review/8): the entry that cancels finds no
    // job,
    // and the store carries out the write of another entry afterwards.
    @Test
    void startsNoJobThatIsStoredAfterItsCancellingWasConfirmed() throws Exception {
        String id = PlatformCluster.id(400);
        String body = "{\"specification\":\"work=700\",\"steps\":" + STEPS + "}";
        cluster.store().loseAnswerOf(Tables.JOBS, LATE_MS);
        assertThat(cluster.call("e1", "POST", id, body, PlatformCluster.KEY).statusCode())
                .isEqualTo(504);

        assertThat(cluster.call("e2", "DELETE", id, "", PlatformCluster.KEY).statusCode())
                .isEqualTo(410);

        Thread.sleep(LATE_MS);
        List<String> ids = submitJobs(100);
        awaitEnds(ids);
        assertThat(cluster.record().starts(id + ".0.0.0")).isZero();
        assertThat(cluster.call("e1", "GET", id, "", PlatformCluster.KEY).statusCode())
                .isEqualTo(410);
    }

    @Test
    void readsAgainWhenTheHistoryIsGone() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.store().forgetHistory();
        ids.addAll(submitJobs(200));
        cluster.store().forgetHistory();

        awaitEnds(ids);
    }

    @Test
    void bearsOrdersThatAreCarriedOutLate() throws Exception {
        cluster.workers().get(0).setLateStarts(2_000);
        List<String> ids = submitJobs(100);
        Thread.sleep(1_500);
        cluster.workers().get(0).setLateStarts(0);

        awaitEnds(ids);
    }

    @Test
    void answersCallsThatComeWhileAnEntryShutsDown() throws Exception {
        List<String> ids = submitJobs(100);
        cluster.daemon("e1").terminate();
        for (int i = 0; i < 50; i++) {
            assertThat(cluster.call("e1", "GET", ids.get(0), "", PlatformCluster.KEY)
                            .statusCode())
                    .isEqualTo(200);
        }

        assertThat(cluster.daemon("e1").awaitExit(6_000)).isTrue();
        awaitEnds(ids);
    }
}
