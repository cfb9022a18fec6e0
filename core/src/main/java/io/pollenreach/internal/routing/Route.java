package io.pollenreach.internal.routing;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * <p>Immutable.
 *
 * @param runner the chosen runner; empty when none has room, so that the request waits
 * @param reason text for the log: what was chosen, what was rejected and why
 */
public record Route(Optional<RunnerView> runner, String reason) {}
