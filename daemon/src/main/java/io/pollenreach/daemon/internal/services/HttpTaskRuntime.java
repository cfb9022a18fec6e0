package io.pollenreach.daemon.internal.services;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;

/**
 * A worker's runtime over HTTP.
 *
 * <p>Failures are as for {@link Table}, and {@code NOT_FOUND} for a task that the runtime does not remember. A task
 * whose start failed is listed as {@code FAILED}. Immutable, so safe for use by many threads.
 */
public final class HttpTaskRuntime implements TaskRuntime {
    private final PlatformCalls calls;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param workerUri the runtime's base address, such as {@code http://127.0.0.1:7000/workers/w1}
     * @param timeoutMs milliseconds until a call fails; a stop waits this long beyond its grace
     */
    public HttpTaskRuntime(HttpCaller http, String workerUri, long timeoutMs) {
        calls = new PlatformCalls(http, workerUri, timeoutMs);
    }

    @Override
    public CompletableFuture<Void> create(String task, int accelerators, String command, long leaseMs) {
        PlatformMessages.TaskOrder order = new PlatformMessages.TaskOrder(accelerators, command, leaseMs);
        return calls.write("PUT", task(task), order).thenApply(r -> null);
    }

    @Override
    public CompletableFuture<Void> start(String task) {
        return calls.write("POST", task(task) + "/start", null).thenApply(r -> null);
    }

    @Override
    public CompletableFuture<Void> renew(List<String> tasks, long leaseMs) {
        return calls.write("POST", "/renew", new PlatformMessages.Renewal(tasks, leaseMs))
                .thenApply(r -> null);
    }

    @Override
    public CompletableFuture<Void> checkpoint(String task) {
        return calls.write("POST", task(task) + "/checkpoint", null).thenApply(r -> null);
    }

    @Override
    public CompletableFuture<Void> throttle(String task, int percent) {
        return calls.write("POST", task(task) + "/throttle", new PlatformMessages.Throttle(percent))
                .thenApply(r -> null);
    }

    @Override
    public CompletableFuture<TaskStatus> stop(String task, long graceMs) {
        byte[] body = PlatformCalls.toJson(new PlatformMessages.StopOrder(graceMs));
        return calls.write("POST", task(task) + "/stop", body, graceMs + calls.timeoutMs())
                .thenApply(r -> PlatformCalls.parse(r, TaskStatus.class, ResultCode.WRITE_UNKNOWN));
    }

    @Override
    public CompletableFuture<List<TaskStatus>> list() {
        return calls.read("/tasks")
                .thenApply(r -> List.of(PlatformCalls.parse(r, TaskStatus[].class, ResultCode.PLATFORM_UNAVAILABLE)));
    }

    // A task's id is one path segment, so that a slash in it does not hide the action.
    private static String task(String task) {
        return "/tasks/" + PlatformCalls.segment(task);
    }
}
