package io.pollenreach.systemtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.pollenreach.ResultCode;
import io.pollenreach.bench.standin.HistoryEntry;
import io.pollenreach.bench.standin.HistoryEvent;
import io.pollenreach.bench.standin.RunnerAnswer;
import io.pollenreach.internal.json.Json;
import io.pollenreach.systemtest.Violation.Check;

/**
 * Checks what must always hold of requests, against the histories of all runners and what the callers saw.
 *
 * <p>Immutable.
 */
final class RequestChecks {
    private final List<CallerReply> replies;
    private final Map<String, Integer> runs = new HashMap<>();

    RequestChecks(List<HistoryEntry> runnerHistories, List<CallerReply> replies) {
        this.replies = List.copyOf(replies);
        for (HistoryEntry e : runnerHistories) {
            if (e.event() instanceof HistoryEvent.RequestStarted s) {
                runs.merge(key(s.workspace(), s.requestId()), 1, Integer::sum);
            }
        }
    }

    /** Checks that no non-idempotent request ran more than once, at whatever runners. */
    List<Violation> atMostOnce() {
        return replies.stream()
                .filter(r -> !r.idempotent() && runs(r) > 1)
                .map(r -> new Violation(Check.AT_MOST_ONCE, key(r), "it ran " + runs(r) + " times"))
                .distinct()
                .toList();
    }

    /** Checks that no request that a caller was told is not run ran, before or after. */
    List<Violation> refusedNeverRan() {
        return replies.stream()
                .filter(r -> r.code() == ResultCode.NOT_RUN.number() && runs(r) > 0)
                .map(r -> new Violation(Check.REFUSED_NEVER_RAN, key(r), "it ran " + runs(r) + " times"))
                .distinct()
                .toList();
    }

    /** Checks that each answer is whole and belongs to the request that it answers. */
    List<Violation> answersMatch() {
        List<Violation> found = new ArrayList<>();
        replies.stream().filter(CallerReply::answered).filter(r -> !matches(r)).forEach(r -> {
            String detail = "echo " + r.echo() + " was answered with " + r.body();
            found.add(new Violation(Check.ANSWER_MATCHES_REQUEST, key(r), detail));
        });
        return found;
    }

    /** Returns how often a request ran. */
    int runs(CallerReply r) {
        return runs.getOrDefault(key(r), 0);
    }

    private static boolean matches(CallerReply r) {
        try {
            RunnerAnswer a = Json.lenient().readValue(r.body(), RunnerAnswer.class);
            return r.requestId().equals(a.requestId())
                    && r.workspace().equals(a.workspace())
                    && r.echo().equals(a.echo());
        } catch (IOException e) {
            return false;
        }
    }

    private static String key(CallerReply r) {
        return key(r.workspace(), r.requestId());
    }

    private static String key(String workspace, String id) {
        return workspace + "/" + id;
    }
}
