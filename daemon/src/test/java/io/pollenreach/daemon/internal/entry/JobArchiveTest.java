package io.pollenreach.daemon.internal.entry;

import io.pollenreach.ManualClock;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.membership.EntryView;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JobArchiveTest {
    private static final String KEY = JobStoreTest.SPEC.key();

    private final FakeTable table = new FakeTable();
    private final ManualClock clock = new ManualClock();
    private final Blackboard blackboard = new Blackboard(new EntryView("10.0.0.1:1", "setubal", 1), clock);
    private final JobStore store = new JobStore(table, blackboard.jobs(), clock);
    private final JobArchive archive = new JobArchive(blackboard, store, clock);

    @Test
    void endedJobIsArchivedAfterRetentionAndCanStillBeRead() {
        JobRow ended = submitAndCancel();
        archive.archiveDue();
        assertThat(blackboard.jobs().get(KEY)).contains(ended);
        clock.advanceMs(JobArchive.RETENTION_MS + 1);
        archive.archiveDue();
        assertThat(blackboard.jobs().get(KEY)).isEmpty();
        assertThat(store.read(KEY).join().orElseThrow().record()).isEqualTo(ended.record());
        store.poll().join();
        assertThat(blackboard.jobs().get(KEY)).isEmpty();
    }

    @Test
    void nameOfArchivedJobCannotBeUsedAgain() {
        submitAndCancel();
        clock.advanceMs(JobArchive.RETENTION_MS + 1);
        archive.archiveDue();
        assertThatThrownBy(() ->
                        store.create(JobRecord.submit(JobStoreTest.SPEC, 5)).join())
                .satisfies(t -> assertThat(JobStoreTest.codeOf(t)).isEqualTo(ResultCode.CONFLICT));
    }

    @Test
    void jobThatHasNotEndedIsNotArchived() {
        store.create(JobRecord.submit(JobStoreTest.SPEC, 0)).join();
        clock.advanceMs(JobArchive.RETENTION_MS + 1);
        archive.archiveDue();
        assertThat(blackboard.jobs().get(KEY)).isPresent();
    }

    @Test
    void failedMoveKeepsRowInJobTable() {
        submitAndCancel();
        clock.advanceMs(JobArchive.RETENTION_MS + 1);
        table.down(true);
        archive.archiveDue();
        table.down(false);
        assertThat(blackboard.jobs().get(KEY)).isPresent();
        archive.archiveDue();
        assertThat(blackboard.jobs().get(KEY)).isEmpty();
    }

    private JobRow submitAndCancel() {
        JobRow row = store.create(JobRecord.submit(JobStoreTest.SPEC, 0)).join();
        return store.update(row, j -> j.cancel(0)).join();
    }
}
