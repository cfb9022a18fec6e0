package io.pollenreach.daemon.internal.settings;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import sun.misc.Signal;

/**
 * Turns SIGHUP, which ends a Java process by default, into a request to read the settings again.
 *
 * <p>Invariant: signals that arrive while nobody waits are joined into one request. Safe for use by many threads.
 */
public final class HangupSignal {
    private static final String NAME = "HUP";

    private final Semaphore requests = new Semaphore(0);

    private HangupSignal() {}

    /** Takes over SIGHUP for the rest of the process's life; to be called before anything that takes time. */
    public static HangupSignal install() {
        HangupSignal hangup = new HangupSignal();
        Signal.handle(new Signal(NAME), s -> hangup.request());
        return hangup;
    }

    /** Returns requests that come from {@link #request()} alone, for use without a process of its own. */
    static HangupSignal detached() {
        return new HangupSignal();
    }

    /** Requests that the settings are read again. */
    void request() {
        requests.release();
    }

    /** Waits for requests, at most for a time in milliseconds; tells whether there was one. */
    boolean await(long timeoutMs) throws InterruptedException {
        boolean requested = requests.tryAcquire(timeoutMs, TimeUnit.MILLISECONDS);
        requests.drainPermits();
        return requested;
    }
}
