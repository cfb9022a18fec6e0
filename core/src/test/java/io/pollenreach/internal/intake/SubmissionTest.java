package io.pollenreach.internal.intake;

import java.util.Optional;

import io.pollenreach.ResultCode;
import io.pollenreach.internal.batch.JobOwner;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** What a caller is told, over every order in which a store may answer the calls of up to four steps. */
class SubmissionTest {
    private static final int MAX_STEPS = 4;
    private static final JobOwner CALLER = new JobOwner("team", "q");
    private static final JobOwner OTHER = new JobOwner("others", "q");

    /** A store with the one row of the job, and writes of the call that it may yet carry out. */
    private static final class StoreModel {
        private final AllChoices choices;
        private Optional<JobOwner> row = Optional.empty();
        private boolean writtenByTheCall;
        private int lateWrites;

        StoreModel(AllChoices choices) {
            this.choices = choices;
        }

        /** Lets something happen between two steps of the call. */
        void change() {
            switch (choices.choose(4)) {
                case 1 -> applyLateWrite();
                case 2 -> row = row.or(() -> Optional.of(CALLER));
                case 3 -> row = row.or(() -> Optional.of(OTHER));
                default -> {
                    // Nothing happens.
                }
            }
        }

        private void applyLateWrite() {
            if (lateWrites > 0) {
                lateWrites--;
                apply();
            }
        }

        private boolean apply() {
            if (row.isPresent()) {
                return false;
            }
            row = Optional.of(CALLER);
            writtenByTheCall = true;
            return true;
        }

        WriteOutcome write() {
            switch (choices.choose(5)) {
                case 0:
                    return apply() ? WriteOutcome.APPLIED : WriteOutcome.CONDITION_FAILED;
                case 1:
                    return WriteOutcome.REFUSED;
                case 2:
                    // Carried out, and the answer is lost.
                    apply();
                    return WriteOutcome.UNKNOWN;
                case 3:
                    lateWrites++;
                    return WriteOutcome.UNKNOWN;
                default:
                    // Lost before it reached the store.
                    return WriteOutcome.UNKNOWN;
            }
        }

        void settle() {
            while (lateWrites > 0) {
                applyLateWrite();
            }
        }
    }

    // Guards against 503 for a job that runs: the job was stored though the answer to its write was lost, and the read
    // that followed failed (review/7).
    @Test
    void refusesOnlyWhatNoOrderOfEventsLetsAppear() {
        AllChoices choices = new AllChoices();
        int refused = 0;
        do {
            StoreModel store = new StoreModel(choices);
            ResultCode answer = submit(store, choices);
            if (answer == ResultCode.OK) {
                assertThat(store.row).as("%s", choices).contains(CALLER);
            }
            store.settle();
            if (answer == ResultCode.PLATFORM_UNAVAILABLE || answer == ResultCode.EXISTS) {
                refused++;
                assertThat(store.writtenByTheCall).as("%s %s", answer, choices).isFalse();
            }
        } while (choices.advance());
        assertThat(refused).isPositive();
    }

    private static ResultCode submit(StoreModel store, AllChoices choices) {
        Submission call = new Submission(CALLER);
        Submission.Step step = Submission.Step.WRITE;
        for (int i = 0; step != Submission.Step.ANSWER; i++) {
            store.change();
            boolean timeLeft = i < MAX_STEPS - 2 && choices.chooseFlag();
            if (step == Submission.Step.WRITE) {
                step = call.recordWrite(store.write(), timeLeft);
            } else if (choices.chooseFlag()) {
                step = call.recordRead(store.row.map(o -> new Submission.StoredJob(Optional.of(o))), timeLeft);
            } else {
                step = call.recordFailedRead(timeLeft);
            }
            assertThat(i).as("%s", choices).isLessThan(MAX_STEPS);
        }
        return call.answer();
    }

    @Test
    void refusesWhenTheStoreRefusedEveryWrite() {
        Submission call = new Submission(CALLER);

        assertThat(call.recordWrite(WriteOutcome.REFUSED, true)).isEqualTo(Submission.Step.WRITE);
        assertThat(call.recordWrite(WriteOutcome.REFUSED, false)).isEqualTo(Submission.Step.ANSWER);
        assertThat(call.answer()).isEqualTo(ResultCode.PLATFORM_UNAVAILABLE);
    }

    @Test
    void answersTheOwnerOfARowThatItReadsOnce() {
        Submission call = new Submission(CALLER);

        call.recordWrite(WriteOutcome.CONDITION_FAILED, true);
        assertThat(call.recordRead(Optional.of(new Submission.StoredJob(Optional.of(CALLER))), true))
                .isEqualTo(Submission.Step.ANSWER);
        assertThat(call.answer()).isEqualTo(ResultCode.OK);
    }

    @Test
    void takesARowWithoutAReadableOwnerForThatOfAnother() {
        Submission call = new Submission(CALLER);

        call.recordWrite(WriteOutcome.CONDITION_FAILED, true);
        call.recordRead(Optional.of(new Submission.StoredJob(Optional.empty())), true);
        assertThat(call.answer()).isEqualTo(ResultCode.EXISTS);
    }
}
