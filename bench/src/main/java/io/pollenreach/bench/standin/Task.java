package io.pollenreach.bench.standin;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.daemon.internal.services.TaskStatus;

/**
 * A task of the runtime.
 *
 * <p>Not safe for use by many threads; the worker's lock guards it.
 */
final class Task {
    private static final int FULL_SPEED = 100;

    final String id;
    final int accelerators;
    final String commandText;
    final Command command;
    final Progress progress = new Progress();
    final CompletableFuture<Void> ended = new CompletableFuture<>();
    TaskStatus.State state = TaskStatus.State.HELD;
    boolean ran;
    boolean stopping;
    int percent = FULL_SPEED;
    long leaseEndMs;
    long checkpointMs;
    long endMs;
    String detail = "";
    /** Grows with each change of speed, so that an outdated timer does nothing. */
    int timer;

    Task(String id, int accelerators, String commandText, long leaseEndMs) {
        this.id = id;
        this.accelerators = accelerators;
        this.commandText = commandText;
        this.leaseEndMs = leaseEndMs;
        command = Command.parse(commandText);
    }

    TaskStatus status(long nowMs, long lagMs) {
        long seenMs = nowMs - lagMs;
        long untilMs = state.ended() ? Math.min(endMs, seenMs) : seenMs;
        return new TaskStatus(id, state, accelerators, progress.atMs(untilMs), checkpointMs, detail);
    }
}
