package io.pollenreach.bench.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.Workspace;
import io.pollenreach.internal.json.Json;

/**
 * A deployment and the demand that it meets, as read from a file under {@code workloads/}.
 *
 * <p>Immutable.
 *
 * @param name the deployment's name
 * @param zones the availability zones
 * @param links the network
 * @param workspaces the workspaces
 * @param runners the runners of the one service
 * @param requests the demand of requests
 * @param workers the workers
 * @param jobs the demand of jobs
 */
record Workload(
        String name,
        List<String> zones,
        Links links,
        List<Workspace> workspaces,
        Runners runners,
        Requests requests,
        Workers workers,
        Jobs jobs) {
    /** Reads a workload from the class path. */
    static Workload load(String name) {
        ObjectMapper mapper =
                Json.lenient(new YAMLFactory()).copy().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        try (InputStream in = Workload.class.getResourceAsStream("/workloads/" + name + ".yaml")) {
            if (in == null) {
                throw new IllegalArgumentException("no workload " + name);
            }
            return mapper.readValue(in, Workload.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Workspace workspace(String name) {
        return workspaces.stream()
                .filter(w -> w.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /**
     * The network; delays are one way and in milliseconds.
     *
     * @param zoneDelayMs between zones
     * @param localDelayMs within a zone
     * @param clientDelayMs between a client and an entry
     * @param variation mean of the exponential extra delay, as a fraction of the delay
     * @param loss share of messages between zones that must be sent again
     * @param resendMs how long until a lost message is sent again
     */
    record Links(
            double zoneDelayMs,
            double localDelayMs,
            double clientDelayMs,
            double variation,
            double loss,
            double resendMs) {}

    /**
     * Swings of demand.
     *
     * @param firstMs when the first crest starts
     * @param everyMs from one start to the next
     * @param lastsMs how long each lasts
     */
    record Crests(double firstMs, double everyMs, double lastsMs) {
        boolean at(double ms) {
            return ms >= firstMs && (ms - firstMs) % everyMs < lastsMs;
        }
    }

    /**
     * The runners.
     *
     * @param count how many
     * @param slots requests that each serves at once
     * @param connections requests that each holds, waiting ones included
     * @param entries how many entries send to them
     * @param reportEveryMs how often each reports its load
     * @param slow how many are slow
     * @param slowFactor by how much those are slower
     */
    record Runners(
            int count, int slots, int connections, int entries, double reportEveryMs, int slow, double slowFactor) {}

    /**
     * The demand of requests.
     *
     * @param durationMs how long requests arrive
     * @param crests the swings
     * @param longRatio share of requests that are far longer than their kind
     * @param longFactor by how much those are longer
     * @param hiccupRatio share of attempts that a runner delays
     * @param hiccupFactor by how much those take longer
     * @param kinds the kinds of requests
     */
    record Requests(
            double durationMs,
            Crests crests,
            double longRatio,
            double longFactor,
            double hiccupRatio,
            double hiccupFactor,
            List<RequestKind> kinds) {}

    /**
     * One kind of request.
     *
     * @param name the kind's name; also its path
     * @param workspace who sends it
     * @param load share of all slots that it keeps busy outside crests
     * @param crestFactor by how much it grows in a crest
     * @param meanMs mean length
     * @param sigma standard deviation of the logarithm of the length
     * @param deadlineMs within which an answer counts as in time
     * @param idempotent whether it may run more than once
     * @param shortWork whether it is measured as short work behind long work
     */
    record RequestKind(
            String name,
            String workspace,
            double load,
            double crestFactor,
            double meanMs,
            double sigma,
            double deadlineMs,
            boolean idempotent,
            boolean shortWork) {}

    /**
     * The workers.
     *
     * @param count how many
     * @param accelerators how many each has
     * @param perRack how many stand in a rack
     */
    record Workers(int count, int accelerators, int perRack) {}

    /**
     * The demand of jobs.
     *
     * @param durationMs how long jobs arrive
     * @param crests the swings
     * @param longRatio share of jobs that run far longer than their kind
     * @param longFactor by how much those are longer
     * @param checkpointEveryMs how often a job saves its work
     * @param maxAttempts attempts that may be lost to failures
     * @param kinds the kinds of jobs
     */
    record Jobs(
            double durationMs,
            Crests crests,
            double longRatio,
            double longFactor,
            double checkpointEveryMs,
            int maxAttempts,
            List<JobKind> kinds) {}

    /**
     * One kind of job.
     *
     * @param name the kind's name
     * @param workspace who submits it
     * @param shape its accelerators
     * @param urgency how soon it is owed its start
     * @param load share of all accelerators that it keeps busy outside crests
     * @param crestFactor by how much it grows in a crest
     * @param meanMs mean run time
     * @param sigma standard deviation of the logarithm of the run time
     * @param declaredFactor what callers declare is off by up to this factor either way
     * @param startWithinMs within which its start counts as in time; 0 when it is owed none
     * @param shortWork whether it is measured as short work behind long work
     */
    record JobKind(
            String name,
            String workspace,
            Shape shape,
            Urgency urgency,
            double load,
            double crestFactor,
            double meanMs,
            double sigma,
            double declaredFactor,
            double startWithinMs,
            boolean shortWork) {}
}
