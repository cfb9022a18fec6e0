package io.pollenreach.internal.batch;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.base.Splitter;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * Identifies one task; its text form is {@code job.occurrence.step.index}.
 *
 * <p>Immutable.
 */
public record TaskId(String job, int occurrence, int step, int index) {
    private static final Splitter DOTS = Splitter.on('.');
    private static final int PARTS = 4;

    public TaskId {
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new PollenreachException(
                    ResultCode.OUT_OF_RANGE,
                    "task",
                    "no task of job " + job + " has the numbers " + occurrence + '.' + step + '.' + index);
        }
    }

    /** Parses the text form; returns empty if the text is not a task id. */
    public static Optional<TaskId> parse(String text) {
        var parts = DOTS.splitToList(text);
        if (parts.size() != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskId(
                    parts.get(0),
                    Integer.parseInt(parts.get(1)),
                    Integer.parseInt(parts.get(2)),
                    Integer.parseInt(parts.get(3))));
        } catch (NumberFormatException | PollenreachException e) {
            return Optional.empty();
        }
    }

    /** Parses the text form written by {@link #toString()}. */
    @JsonCreator
    public static TaskId of(String text) {
        return parse(text)
                .orElseThrow(() ->
                        new IllegalArgumentException("not a task id of the form job.occurrence.step.index: " + text));
    }

    @Override
    @JsonValue
    public String toString() {
        return job + '.' + occurrence + '.' + step + '.' + index;
    }
}
