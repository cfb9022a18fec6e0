package io.pollenreach.daemon.internal.agent;

import java.util.concurrent.CompletableFuture;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.settings.AgentSettings;
import io.pollenreach.internal.wire.Execute;
import io.pollenreach.internal.wire.Load;
import io.pollenreach.internal.wire.Message;
import io.pollenreach.internal.wire.OutcomeQuery;

/**
 * The side of an agent that is specific to runners.
 *
 * <p>Safe for use by many threads.
 */
final class RunnerAgent implements TargetAgent {
    private final RunnerGuard guard;

    RunnerAgent(AgentSettings settings, RunnerCalls calls, Clock clock) {
        guard = new RunnerGuard(settings, calls, clock, new FailureWindow(clock));
    }

    @Override
    public CompletableFuture<Message> handle(Message message) {
        if (message instanceof Execute) {
            return guard.execute((Execute) message);
        }
        if (message instanceof OutcomeQuery) {
            return guard.queryOutcome((OutcomeQuery) message);
        }
        throw new PollenreachException(
                ResultCode.UNKNOWN_KIND, "a runner's agent does not handle messages of this kind");
    }

    @Override
    public void tick() {
        guard.tick();
    }

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public Load load() {
        return guard.load();
    }

    @Override
    public long incarnation() {
        return guard.incarnation();
    }

    @Override
    public PartReporter parts() {
        return PartReporter.NONE;
    }

    @Override
    public void setHomeLink(HomeLink link) {}

    @Override
    public CompletableFuture<Void> drain() {
        return guard.drain();
    }

    @Override
    public CompletableFuture<Void> stopAll() {
        // Requests in progress at a runner can't be cancelled; their callers are told that the outcome is unknown.
        return CompletableFuture.completedFuture(null);
    }
}
