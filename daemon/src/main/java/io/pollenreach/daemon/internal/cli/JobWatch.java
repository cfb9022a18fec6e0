package io.pollenreach.daemon.internal.cli;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenreach.Clock;
import io.pollenreach.JobState;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/**
 * Follows a job until it has ended, over the death of servers.
 *
 * <p>Invariant: each state is printed once, in the order of the row's versions. For use by one thread.
 */
final class JobWatch {
    private static final long POLL_WAIT_MS = 10_000;
    private static final long RETRY_PAUSE_MS = 500;

    private final ApiClient api;
    private final PrintStream progress;
    private final Clock clock;
    private final long silenceTimeoutMs;

    /** Creates a watch that gives up when no server answered for {@code silenceTimeoutMs}. */
    JobWatch(ApiClient api, PrintStream progress, Clock clock, long silenceTimeoutMs) {
        this.api = api;
        this.progress = progress;
        this.clock = clock;
        this.silenceTimeoutMs = silenceTimeoutMs;
    }

    /** Follows the job at a path of the resource API; returns it once it has ended. */
    JsonNode follow(String path) throws InterruptedException {
        long version = 0;
        long heardMs = clock.nowMs();
        while (true) {
            try {
                JsonNode job = api.get(path + "?since=" + version + "&waitMs=" + POLL_WAIT_MS);
                heardMs = clock.nowMs();
                if (job.path("version").asLong() > version) {
                    version = job.path("version").asLong();
                    progress.println(line(job));
                }
                if (state(job).terminal()) {
                    return job;
                }
            } catch (PollenreachException e) {
                if (!transientFailure(e.code()) || clock.nowMs() - heardMs > silenceTimeoutMs) {
                    throw e;
                }
                Thread.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    /** Returns the exit status that tells how a job ended. */
    static int exitStatus(JsonNode job) {
        if (state(job) == JobState.SUCCEEDED) {
            return ResultCode.OK.exitStatus();
        }
        return Errors.code(job.at("/status/code").asInt())
                .filter(c -> c != ResultCode.OK)
                .orElse(ResultCode.JOB_FAILED)
                .exitStatus();
    }

    private static JobState state(JsonNode job) {
        String state = job.at("/status/state").asText();
        try {
            return JobState.valueOf(state);
        } catch (IllegalArgumentException e) {
            throw new PollenreachException(ResultCode.INTERNAL, "The server told a job state \"" + state + "\".");
        }
    }

    private static boolean transientFailure(ResultCode code) {
        switch (code) {
            case PEER_UNREACHABLE:
            case PEER_TIMEOUT:
            case NOT_READY:
            case DRAINING:
            case PLATFORM_UNAVAILABLE:
                return true;
            default:
                return false;
        }
    }

    private static String line(JsonNode job) {
        StringBuilder line = new StringBuilder(job.path("workspace").asText());
        line.append('/').append(job.path("name").asText());
        line.append(' ').append(job.at("/status/state").asText());
        line.append(" attempt=").append(job.at("/status/attempt").asInt());
        StringBuilder workers = new StringBuilder();
        job.at("/status/placement").forEach(p -> workers.append(workers.length() == 0 ? "" : ",")
                .append(p.path("worker").asText()));
        line.append(workers.length() == 0 ? "" : " workers=" + workers);
        int code = job.at("/status/code").asInt();
        line.append(code == 0 ? "" : " code=" + code);
        String detail = job.at("/status/detail").asText();
        return line.append(detail.isEmpty() ? "" : " " + detail).toString();
    }
}
