package io.pollenreach.daemon.internal.process;

import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;

/**
 * A single thread that does work now, later or periodically.
 *
 * <p>Invariant: work that fails is logged and keeps no later work from being done, also if it is periodic; by an error, such
 * as one of memory, the process ends. A stack that overflows counts as a failure, since it is one of the input. Safe for use
 * by many threads.
 */
public final class WorkThread extends ScheduledThreadPoolExecutor {
    private static final Events EVENTS = Events.of(WorkThread.class);

    private final String name;

    /** Creates a daemon thread with a name. */
    public WorkThread(String name) {
        super(1, work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        });
        this.name = name;
        // Cancelled work must not keep what it refers to, such as the bodies of requests.
        setRemoveOnCancelPolicy(true);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
        return super.schedule(guarded(work), delay, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> work, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("a result would hide the failure of the work");
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable work, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(guarded(work), initialDelay, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable work, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(guarded(work), initialDelay, period, unit);
    }

    private Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException | StackOverflowError e) {
                EVENTS.warn(
                        "work-failed",
                        "thread",
                        name,
                        "code",
                        PollenreachException.of(e).code().number(),
                        "error",
                        e,
                        "at",
                        e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "unknown");
            } catch (Error e) {
                FatalErrors.end(name, e);
                throw e;
            }
        };
    }
}
