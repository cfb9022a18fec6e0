package io.pollenreach.daemon.internal.yaml;

import java.util.List;
import java.util.stream.Collectors;

import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * All problems of the files that were read, reported together.
 *
 * <p>Immutable, so safe for use by many threads.
 */
public final class ProblemsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /** Creates a failure; there must be at least one problem. */
    public ProblemsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Fails with all problems when there are any. */
    public static void throwIfAny(List<Problem> problems) {
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
    }

    /** Returns the problems in the order in which they were found. */
    public List<Problem> problems() {
        return problems;
    }

    /** Returns the code of the first problem. */
    public ResultCode code() {
        return problems.get(0).code();
    }

    /** Returns the first problem as a failure with a numbered code. */
    public PollenreachException first() {
        return new PollenreachException(code(), problems.get(0).fault().path(), getMessage());
    }
}
