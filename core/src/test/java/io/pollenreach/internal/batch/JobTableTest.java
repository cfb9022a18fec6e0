package io.pollenreach.internal.batch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class JobTableTest {
    private final JobTable table = new JobTable();

    private JobProgress add(String id, long sequence) {
        JobProgress job = new JobProgress(Jobs.job(id).step(Jobs.step(1, 1)).build(), sequence, 0);
        table.add(job);
        return job;
    }

    // Guards against dropping a job whose row was written in one transaction with another one's.
    @Test
    void keepsJobsOfOneSequenceApart() {
        JobProgress a = add("a", 3);
        JobProgress b = add("b", 3);

        assertThat(table.active()).containsExactly(a, b);
    }

    @Test
    void listsJobsThatHaveNotEndedOldestFirst() {
        JobProgress young = add("young", 9);
        JobProgress ended = add("ended", 4);
        JobProgress old = add("old", 2);
        ended.end(JobPhase.CANCELLED, 0);

        assertThat(table.active()).containsExactly(old, young);
        assertThat(table.get("ended")).isSameAs(ended);
    }

    @Test
    void removesOnlyEndedJobsThatMayGo() {
        add("running", 1);
        add("kept", 2).end(JobPhase.COMPLETED, 10);
        add("gone", 3).end(JobPhase.COMPLETED, 10);
        add("recent", 4).end(JobPhase.COMPLETED, 90);

        List<JobProgress> ended = table.endedBefore(50, id -> !id.equals("kept"));
        ended.forEach(j -> table.forget(j.job().id(), 100));

        assertThat(ended).extracting(j -> j.job().id()).containsExactly("gone");
        assertThat(table.byId()).containsOnlyKeys("running", "kept", "recent");
    }
}
