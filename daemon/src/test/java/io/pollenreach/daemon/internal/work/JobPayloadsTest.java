package io.pollenreach.daemon.internal.work;

import java.util.List;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.store.MemoryStore;
import io.pollenreach.daemon.internal.store.RowCodec;
import io.pollenreach.daemon.internal.store.Tables;
import io.pollenreach.internal.batch.BatchJob;
import io.pollenreach.internal.batch.Resources;
import io.pollenreach.internal.batch.StepSpec;
import io.pollenreach.internal.batch.TaskId;
import io.pollenreach.internal.batch.TaskRun;
import io.pollenreach.internal.batch.WorkerOrders.OrderedRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Where an agent finds the payload of orders that do not carry it. */
class JobPayloadsTest {
    private final MemoryStore store = new MemoryStore();
    private final JobPayloads payloads = new JobPayloads(store);
    private final OrderedRun order =
            OrderedRun.of(new TaskRun(TaskId.of("a.0.0.0"), 1), "work").withoutPayload();

    private void putJob(String payload) {
        StepSpec step = StepSpec.builder(1, Resources.NONE).build();
        BatchJob job = new BatchJob("a", "q", "team", "pool", 1, 3, payload, List.of(step), null, false);
        store.put(Tables.JOBS, "a", RowCodec.toValue(job));
    }

    @Test
    void readsThePayloadFromTheRowOfTheJob() {
        putJob("work");

        OrderedRun complete = payloads.read(order).join();

        assertThat(complete.payload()).isEqualTo("work");
        assertThat(complete.payloadInJob()).isFalse();
    }

    @Test
    void failsForAJobThatIsNotStored() {
        assertThatThrownBy(() -> payloads.read(order).join())
                .satisfies(t -> assertThat(PollenreachException.of(t).code()).isEqualTo(ResultCode.NOT_FOUND));
    }

    @Test
    void readsAgainAfterAFailure() {
        assertThatThrownBy(() -> payloads.read(order).join()).isNotNull();
        putJob("work");

        assertThat(payloads.read(order).join().payload()).isEqualTo("work");
    }
}
