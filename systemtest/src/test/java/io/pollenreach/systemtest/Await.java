package io.pollenreach.systemtest;

import java.util.concurrent.Callable;

import io.pollenreach.Clock;

/** Waits on conditions. Stateless. */
final class Await {
    private static final long PAUSE_MS = 50;

    private Await() {}

    /** Waits until a condition holds; an exception counts as not yet. */
    static void until(String what, long timeoutMs, Callable<Boolean> condition) throws InterruptedException {
        long deadlineMs = Clock.system().nowMs() + timeoutMs;
        Exception last = null;
        while (true) {
            try {
                if (condition.call()) {
                    return;
                }
                last = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            if (Clock.system().nowMs() > deadlineMs) {
                throw new AssertionError("not within " + timeoutMs + " ms: " + what, last);
            }
            Thread.sleep(PAUSE_MS);
        }
    }
}
