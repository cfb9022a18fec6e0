package io.pollenreach.daemon.internal.process;

import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.log.LogSetup;

/**
 * Ends the process when one of its threads can't go on.
 *
 * <p>A process that lives on without a thread still seems ready, and what its callers hand in would wait there for good.
 * Whoever supervises the process starts it again, and it reads its state back from the store.
 *
 * <p>Invariant: once {@link #install()} was called, no thread of the program ends by an exception while the process goes
 * on. Before, as in tests, failures are only logged. Thread-safe.
 */
public final class FatalErrors {
    /** The exit status of a process that ended so: that of an internal error. */
    public static final int EXIT_STATUS = ResultCode.INTERNAL.exitStatus();

    private static final Events EVENTS = Events.of(FatalErrors.class);

    private static volatile IntConsumer exit = status -> {};

    private FatalErrors() {}

    /** Ends the process from now on when a thread ends by an exception or an error is reported. */
    public static void install() {
        // Shutdown hooks may need what has failed, so they are not run.
        install(Runtime.getRuntime()::halt);
    }

    static void install(IntConsumer exitWithStatus) {
        exit = exitWithStatus;
        Thread.setDefaultUncaughtExceptionHandler((thread, t) -> end(thread.getName(), t));
    }

    /** Ends the process because a part of it failed. */
    public static void end(String part, Throwable t) {
        try {
            EVENTS.warn("process-ending", "part", part, "code", ResultCode.INTERNAL.number(), "error", t);
            LogSetup.flush();
        } finally {
            exit.accept(EXIT_STATUS);
        }
    }

    /** Returns a callback for calls whose failure would stop a part of the process for good; if it throws, the process ends. */
    public static <T> BiConsumer<T, Throwable> required(String part, BiConsumer<T, Throwable> callback) {
        return (value, failure) -> {
            try {
                callback.accept(value, failure);
            } catch (RuntimeException | Error e) {
                end(part, e);
                throw e;
            }
        };
    }

    /** The same for work that is done later. */
    public static Runnable required(String part, Runnable work) {
        BiConsumer<Object, Throwable> callback = required(part, (value, failure) -> work.run());
        return () -> callback.accept(null, null);
    }
}
