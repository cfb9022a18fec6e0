package io.pollenreach.daemon.internal.entry;

import java.util.List;
import java.util.concurrent.CompletionException;

import io.pollenreach.Adjacency;
import io.pollenreach.JobSpec;
import io.pollenreach.JobState;
import io.pollenreach.ManualClock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.daemon.internal.entry.JobTable.JobRow;
import io.pollenreach.daemon.internal.services.Write;
import io.pollenreach.internal.jobs.JobRecord;
import io.pollenreach.internal.json.Json;
import io.pollenreach.internal.wire.AttemptId;
import io.pollenreach.internal.wire.Part;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JobStoreTest {
    static final JobSpec SPEC =
            new JobSpec("tejo", "cut", new Shape(1, 4, Adjacency.ANY), Urgency.NORMAL, 0, true, 3, "sleep:1");
    private static final List<Part> PARTS = List.of(new Part(0, "w1", "10.0.0.1:1", 4));

    private final FakeTable table = new FakeTable();
    private final JobTable jobs = new JobTable();
    private final JobStore store = new JobStore(table, jobs, new ManualClock());

    @Test
    void writeWithLostResponseIsResolvedByReadingBack() {
        table.loseAnswers(1);
        JobRow row = store.create(JobRecord.submit(SPEC, 1)).join();
        assertThat(row.version()).isEqualTo(1);
        assertThat(jobs.get(SPEC.key())).contains(row);
    }

    @Test
    void concurrentPlacementOfSameAttemptFailsWithConflict() {
        JobRow row = store.create(JobRecord.submit(SPEC, 1)).join();
        AttemptId winner = new AttemptId(SPEC.key(), 1, "winner");
        table.beforeNextWrite(() -> new JobStore(table, new JobTable(), new ManualClock())
                .update(row, j -> j.place(winner, PARTS, false, ""))
                .join());
        AttemptId loser = new AttemptId(SPEC.key(), 1, "loser");
        assertThatThrownBy(() ->
                        store.update(row, j -> j.place(loser, PARTS, false, "")).join())
                .satisfies(t -> assertThat(codeOf(t)).isEqualTo(ResultCode.CONFLICT));
        assertThat(jobs.get(SPEC.key()).orElseThrow().record().nonce()).isEqualTo("winner");
    }

    @Test
    void writeThatCannotBeResolvedFailsAsUnknown() {
        JobRow row = store.create(JobRecord.submit(SPEC, 1)).join();
        table.loseAnswers(1);
        table.failReads(1);
        assertThatThrownBy(() -> store.update(row, j -> j.cancel(2)).join())
                .satisfies(t -> assertThat(codeOf(t)).isEqualTo(ResultCode.WRITE_UNKNOWN));
    }

    @Test
    void endedJobNeverChanges() {
        JobRow row = store.create(JobRecord.submit(SPEC, 1)).join();
        JobRow ended = store.update(row, j -> j.cancel(2)).join();
        assertThat(ended.record().state()).isEqualTo(JobState.CANCELLED);
        assertThatThrownBy(() -> store.update(ended, j -> j.run(3)).join())
                .satisfies(t -> assertThat(codeOf(t)).isEqualTo(ResultCode.CONFLICT));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "[]",
                "7",
                "{}",
                "{\"spec\": {}, \"state\": \"WAITING\"}",
                "{\"state\": \"UNHEARD\"}",
                "{\"spec\": {\"workspace\": \"tejo\", \"name\": \"odd\", \"shape\": {}}, \"state\": \"WAITING\", \"nonce\": \"\"}"
            })
    void oneUnreadableRowDoesNotHideTheOthers(String unreadable) throws Exception {
        table.put(new Write(JobTable.TABLE, "tejo/odd", 0, Json.lenient().readTree(unreadable)))
                .join();
        store.create(JobRecord.submit(SPEC, 1)).join();
        JobTable elsewhere = new JobTable();
        new JobStore(table, elsewhere, new ManualClock()).poll().join();
        assertThat(elsewhere.list(r -> !r.record().state().placed()))
                .extracting(JobRow::key)
                .containsExactly(SPEC.key());
        assertThat(elsewhere.revision()).isEqualTo(2);
    }

    static ResultCode codeOf(Throwable t) {
        return PollenreachException.of(t instanceof CompletionException ? t.getCause() : t)
                .code();
    }
}
