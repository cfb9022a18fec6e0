package io.pollenreach.daemon.internal.scheduler;

import java.util.function.Consumer;

import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.internal.batch.AdviceCache;
import io.pollenreach.internal.batch.SchedulerState;

/**
 * Sends a term's queries to the advisor and records the answers.
 *
 * <p>Confined to the scheduler's thread, to which answers are passed on.
 */
final class AdviceRequests {
    private static final Events EVENTS = Events.of(AdviceRequests.class);

    private final SchedulerState state;
    private final Advisor advisor;
    private final Clock clock;
    private final Consumer<Runnable> inbox;

    /** Creates requests whose answers are recorded by what the inbox runs on the scheduler's thread. */
    AdviceRequests(SchedulerState state, Advisor advisor, Clock clock, Consumer<Runnable> inbox) {
        this.state = state;
        this.advisor = advisor;
        this.clock = clock;
        this.inbox = inbox;
    }

    /** Sends the next query, if one is due. */
    void send() {
        state.advice().pollQuery(clock.nowMs()).ifPresent(this::send);
    }

    private void send(AdviceCache.Query query) {
        long requestedMs = clock.nowMs();
        advisor.advise(query.step(), query.workers())
                .whenComplete((advice, t) -> inbox.accept(() -> record(query, advice, t, requestedMs)));
    }

    private void record(AdviceCache.Query query, Advisor.Advice advice, Throwable t, long requestedMs) {
        long nowMs = clock.nowMs();
        if (t == null) {
            state.requestPlacement();
            state.advice().recordAdvice(query, advice.ticketByWorker(), advice.validMs(), requestedMs, nowMs);
            EVENTS.info(
                    "advice-taken",
                    "step",
                    query.step(),
                    "asked",
                    query.workers().size(),
                    "approved",
                    advice.ticketByWorker().size(),
                    "validMs",
                    advice.validMs(),
                    "ms",
                    nowMs - requestedMs);
            return;
        }
        PollenreachException e = PollenreachException.of(t);
        state.advice().recordFailure(query, nowMs);
        EVENTS.warn("advice-failed", "step", query.step(), "code", e.code().number(), "error", e.getMessage());
    }
}
