package io.pollenreach.internal.placement;

import java.util.List;
import java.util.Map;

import io.pollenreach.Adjacency;
import io.pollenreach.ResultCode;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.internal.wire.AttemptId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuaranteedPlacerTest {
    private static final Shape WHOLE_WORKER = new Shape(1, 8, Adjacency.ANY);
    private static final Shape RACK = new Shape(3, 8, Adjacency.RACK);

    private final Placer placer = GuaranteedPlacer.builder().build();

    @Test
    void jobWaitsWhileNoWorkerIsKnown() {
        SampleCluster c = new SampleCluster().workspace("a", 8).submit("a", "j", WHOLE_WORKER, Urgency.NORMAL);
        assertThat(c.decide(placer)).singleElement().isInstanceOf(Decision.Wait.class);
    }

    @Test
    void shapeThatNoRackCouldHoldIsNeverRunnable() {
        SampleCluster c = new SampleCluster().workers(6, 3, 8).workspace("a", 64);
        c.submit("a", "j", new Shape(4, 8, Adjacency.RACK), Urgency.NORMAL);
        assertThat(c.decide(placer)).singleElement().isInstanceOfSatisfying(Decision.Refuse.class, r -> assertThat(
                        r.code())
                .isEqualTo(ResultCode.NEVER_RUNNABLE));
    }

    @Test
    void shapeThatAnUnusableRackHoldsWaits() {
        SampleCluster c = new SampleCluster().workers(3, 3, 8).workspace("a", 64);
        c.usable("w0", false);
        c.submit("a", "j", RACK, Urgency.NORMAL);
        assertThat(c.decide(placer)).singleElement().isInstanceOf(Decision.Wait.class);
    }

    @Test
    void shapeLargerThanTheWorkspaceMayUseIsOverQuota() {
        SampleCluster c = new SampleCluster().workers(3, 3, 8).workspace("a", 7);
        c.submit("a", "j", WHOLE_WORKER, Urgency.NORMAL);
        assertThat(c.decide(placer)).singleElement().isInstanceOfSatisfying(Decision.Refuse.class, r -> assertThat(
                        r.code())
                .isEqualTo(ResultCode.OVER_QUOTA));
    }

    @Test
    void guaranteedGangReclaimsTheRackWithLeastUnsavedWork() {
        SampleCluster c = new SampleCluster().workspace("a", 24, RACK).workspace("b", 64);
        for (int i = 0; i < 6; i++) {
            long unsavedMs = i < 3 ? 90_000 : 1_000;
            Holding h = new Holding(new AttemptId("b/j" + i, 1, "n"), "b", 8, true, true, unsavedMs);
            c.worker(new WorkerView("w" + i, "z", "r" + i / 3, "127.0.0.1:1", 8, true, 0, List.of(h)));
        }
        c.submit("a", "gang", RACK, Urgency.URGENT);
        Decision.Place p = (Decision.Place) c.decide(placer).get(0);
        assertThat(p.borrowed()).isFalse();
        assertThat(p.victims()).extracting(AttemptId::job).containsExactly("b/j3", "b/j4", "b/j5");
    }

    @Test
    void guaranteedShapeCoversAsManyJobsAsFitIntoIt() {
        SampleCluster c = new SampleCluster().workers(1, 1, 8).workspace("a", 8, WHOLE_WORKER);
        for (int i = 0; i < 4; i++) {
            c.submit("a", "small" + i, new Shape(1, 2, Adjacency.ANY), Urgency.URGENT);
        }
        assertThat(c.run(placer, 1).values()).allMatch(d -> !((Decision.Place) d).borrowed());
    }

    @Test
    void batchWorkNeverReclaims() {
        SampleCluster c = new SampleCluster().workers(1, 1, 8).workspace("a", 8, WHOLE_WORKER);
        c.workspace("b", 8).submit("b", "j", WHOLE_WORKER, Urgency.NORMAL);
        c.run(placer, 1);
        c.submit("a", "patient", WHOLE_WORKER, Urgency.BATCH);
        assertThat(c.decide(placer)).singleElement().isInstanceOf(Decision.Wait.class);
    }

    @Test
    void smallJobsLeaveOneRackCompletelyFree() {
        SampleCluster c = new SampleCluster().workers(6, 3, 8).workspace("a", 64);
        for (int i = 0; i < 12; i++) {
            c.submit("a", "small" + i, new Shape(1, 2, Adjacency.ANY), Urgency.NORMAL);
        }
        c.run(placer, 7);
        assertThat(Fragmentation.of(c.view().workers(), Adjacency.RACK, 8).largestGang())
                .isEqualTo(24);
    }

    @Test
    void workerWithRepeatedFailuresGetsNoNewParts() {
        SampleCluster c = new SampleCluster().workspace("a", 64);
        for (int i = 0; i < 3; i++) {
            c.worker(new WorkerView("w" + i, "z", "r", "127.0.0.1:1", 8, true, i == 1 ? 0 : 9, List.of()));
        }
        c.worker(new WorkerView("w3", "z", "r", "127.0.0.1:1", 8, true, 0, List.of()));
        c.submit("a", "j", WHOLE_WORKER, Urgency.NORMAL).submit("a", "k", WHOLE_WORKER, Urgency.NORMAL);
        Map<String, Decision> decisions = c.run(placer, 1);
        assertThat(decisions.values())
                .allSatisfy(d ->
                        assertThat(((Decision.Place) d).parts().get(0).worker()).isIn("w1", "w3"));
    }

    @Test
    void workersAreReservedForGangAfterLongWait() {
        SampleCluster c =
                new SampleCluster().workers(3, 3, 8).workspace("a", 64).workspace("b", 64);
        c.submit("b", "now", WHOLE_WORKER, Urgency.NORMAL);
        c.run(placer, 1);
        c.submit("a", "gang", RACK, Urgency.NORMAL, 1_000_000);
        c.submit("b", "later", WHOLE_WORKER, Urgency.NORMAL);
        Placer reservingPlacer =
                GuaranteedPlacer.builder().reserveAfterMs(600_000).build();
        assertThat(c.run(reservingPlacer, 1).get("b/later")).isInstanceOf(Decision.Wait.class);
    }

    @Test
    void borrowersAreRelocatedForGangAfterWait() {
        SampleCluster c =
                new SampleCluster().workers(4, 2, 8).workspace("a", 64).workspace("b", 64);
        c.holding("w0", "b", "x", 4).holding("w2", "b", "y", 4);
        c.submit("a", "gang", new Shape(2, 8, Adjacency.RACK), Urgency.NORMAL, 100_000);
        Decision.Place p = (Decision.Place) c.run(placer, 1).get("a/gang");
        assertThat(p.borrowed()).isTrue();
        assertThat(p.victims()).hasSize(1);
        assertThat(c.run(placer, 2).values()).singleElement().isInstanceOf(Decision.Place.class);
    }

    @Test
    void borrowersAreNotStoppedForABorrowerWhenTheyCannotStartElsewhere() {
        SampleCluster c =
                new SampleCluster().workers(2, 2, 8).workspace("a", 64).workspace("b", 64);
        c.holding("w0", "b", "x", 4);
        c.submit("a", "gang", new Shape(2, 8, Adjacency.RACK), Urgency.NORMAL, 100_000);
        assertThat(c.run(placer, 1).values()).singleElement().isInstanceOf(Decision.Wait.class);
    }

    @Test
    void ownBorrowersStopWhenGuaranteedWorkWouldPassTheLimit() {
        SampleCluster c = new SampleCluster().workers(3, 3, 8).workspace("a", 16, WHOLE_WORKER);
        c.submit("a", "b1", WHOLE_WORKER, Urgency.BATCH).submit("a", "b2", WHOLE_WORKER, Urgency.BATCH);
        c.run(placer, 1);
        c.submit("a", "urgent", WHOLE_WORKER, Urgency.URGENT);
        Decision.Place p = (Decision.Place) c.run(placer, 1).get("a/urgent");
        assertThat(p.victims()).hasSize(1);
    }
}
