package io.pollenreach.internal.routing;

import java.util.List;
import java.util.Optional;

/**
 * What would be decided about a request that came now, and why.
 *
 * <p>Invariants: an accepted request without a runner waits; one that is not accepted has no runner and nobody ahead.
 * Immutable.
 *
 * @param accepted whether the queue takes the request; if not, its workspace is at its limit of waiting requests
 * @param runner the runner to which it is sent at once
 * @param ahead how many waiting requests of all workspaces are served before it
 * @param aheadOfOwn how many of these belong to its own workspace
 * @param reason text for people
 * @param runners the runners of the service, as they are when its turn comes
 */
public record RoutePreview(
        boolean accepted, Optional<String> runner, int ahead, int aheadOfOwn, String reason, List<Runner> runners) {
    public RoutePreview {
        runners = List.copyOf(runners);
    }

    /** Returns the preview of a request that the queue refuses. */
    public static RoutePreview refused(String reason, List<Runner> runners) {
        return new RoutePreview(false, Optional.empty(), 0, 0, reason, runners);
    }

    /** Returns the preview of a request that is sent at once. */
    public static RoutePreview sent(String runner, String reason, List<Runner> runners) {
        return new RoutePreview(true, Optional.of(runner), 0, 0, reason, runners);
    }

    /** Returns the preview of a request that waits. */
    public static RoutePreview waiting(int ahead, int aheadOfOwn, String reason, List<Runner> runners) {
        return new RoutePreview(true, Optional.empty(), ahead, aheadOfOwn, reason, runners);
    }

    /** A runner, and why the request goes there or not. Immutable. */
    public record Runner(RunnerView view, RunnerVerdict verdict) {}
}
