package io.pollenreach.daemon.internal.cli;

/** A command line that can't be carried out as written. Immutable, so safe for use by many threads. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String detail) {
        super(detail);
    }
}
