package io.pollenreach.daemon.internal.batch;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.clock.BootClock;
import io.pollenreach.daemon.internal.evacuation.EvacuationRows;
import io.pollenreach.daemon.internal.evacuation.EvacuationSource;
import io.pollenreach.daemon.internal.evacuation.EvacuationView;
import io.pollenreach.daemon.internal.http.HttpListener;
import io.pollenreach.daemon.internal.intake.JobIntake;
import io.pollenreach.daemon.internal.intake.QueueDirectory;
import io.pollenreach.daemon.internal.scheduler.Advisor;
import io.pollenreach.daemon.internal.scheduler.LeaderWatch;
import io.pollenreach.daemon.internal.scheduler.Scheduler;
import io.pollenreach.daemon.internal.scheduler.SchedulerContext;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.TableWatch;
import io.pollenreach.internal.batch.JobOutlook;
import io.pollenreach.internal.intake.AdmissionControl;

/**
 * An entry for jobs made of steps: follows the configuration, accepts jobs, and schedules while it is the leader.
 *
 * <p>Invariants: it is ready only with a configuration in force and while the store responds; a graceful shutdown
 * first takes it out of the load balancer's rotation and gives up its leadership, and answers calls until then.
 * Thread-safe.
 */
public final class BatchEntry implements AutoCloseable {
    /**
     * How long one call waits for a new configuration, in milliseconds: API keys must be confirmed every few seconds.
     */
    public static final long CONFIG_WAIT_MS = 1_200;

    /** Margin for the check of the age of keys, in milliseconds: a watch may receive nothing for a second. */
    private static final long KEY_AGE_MARGIN_MS = 1_300;

    /**
     * Time until the load balancer stops routing to a process that is not ready, in milliseconds: it checks once a
     * second and needs two failed checks.
     */
    private static final long OUT_OF_ROTATION_MS = 2_300;

    /** Part of the grace period that is reserved for closing, in milliseconds. */
    private static final long CLOSE_RESERVE_MS = 1_500;

    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    /**
     * The time limits of an entry.
     *
     * <p>Immutable.
     *
     * @param leaseMs how long a worker keeps its runs after its agent's last report, in milliseconds
     * @param keyAgeMs how long after its removal a key may still give access to a queue, in milliseconds
     * @param graceMs how long a graceful shutdown may take, in milliseconds
     */
    public record Limits(long leaseMs, long keyAgeMs, long graceMs) {
        private long trustKeysForMs() {
            return keyAgeMs - KEY_AGE_MARGIN_MS;
        }
    }

    private volatile Limits limits;
    private final Clock clock;
    private final QueueDirectory directory;
    private final TableWatch config;
    private final LeaderWatch leader;
    private final Scheduler scheduler;
    private final JobIntake intake;
    private volatile boolean draining;

    /**
     * Creates an entry that is not started yet.
     *
     * @param name the entry's name; unique, and the same after a restart
     * @param store the store
     * @param configTable the table that holds the configuration
     * @param decoder creates the listener that applies rows of that table to a directory
     * @param evacuations names the rows of that table by which zones are evacuated; empty if none ever is
     * @param advisor advises which workers may run the steps of advised queues
     * @param limits the time limits
     * @param metrics the registry for metrics
     */
    public BatchEntry(
            String name,
            StateStore store,
            String configTable,
            Function<QueueDirectory, TableWatch.Listener> decoder,
            Optional<EvacuationRows> evacuations,
            Advisor advisor,
            Limits limits,
            MeterRegistry metrics) {
        this.limits = limits;
        clock = Clock.system();
        // After a suspension of the machine the known keys must count as old, so this clock includes suspended
        // time where possible.
        Clock keyClock = BootClock.createOrSystemClock();
        directory = new QueueDirectory(() -> ageMs(keyClock), limits.trustKeysForMs());
        Optional<EvacuationView> view = evacuations.map(rows -> new EvacuationView(store, rows));
        TableWatch.Listener decoded = decoder.apply(directory);
        TableWatch.Listener listener =
                view.<TableWatch.Listener>map(v -> v.andThen(decoded)).orElse(decoded);
        config = new TableWatch(store, configTable, CONFIG_WAIT_MS, keyClock, listener);
        leader = new LeaderWatch(store, clock);
        scheduler = new Scheduler(
                new SchedulerContext(
                        name,
                        store,
                        leader,
                        directory::guarantees,
                        view.<EvacuationSource>map(v -> v).orElseGet(EvacuationSource::none),
                        advisor,
                        clock,
                        limits.leaseMs()),
                metrics);
        intake = new JobIntake(
                store, leader::healthy, new AdmissionControl(leader.backlog(), directory::guarantees), clock, metrics);
        Gauge.builder("pollenreach.config.version", directory, QueueDirectory::version)
                .register(metrics);
        view.ifPresent(v -> Gauge.builder(
                        "pollenreach.evacuated.zones", v, x -> x.versionByZone().size())
                .description("Availability zones under evacuation, as far as this entry knows")
                .register(metrics));
        Gauge.builder("pollenreach.scheduler.leader", scheduler, s -> s.isLeader() ? 1 : 0)
                .register(metrics);
    }

    /** Puts other limits in force, but for the lease, which the agents must agree on and so needs a restart. */
    public void setLimits(Limits next) {
        limits = next;
        directory.setMaxAgeMs(next.trustKeysForMs());
    }

    private long ageMs(Clock keyClock) {
        return keyClock.nowMs() - config.freshAsOfMs();
    }

    /** Starts to follow the store and to take part in leader elections. */
    public void start() {
        config.start();
        leader.start();
        scheduler.start();
    }

    /** Returns the queues in force. */
    public QueueDirectory directory() {
        return directory;
    }

    /** Returns the intake that accepts jobs. */
    public JobIntake intake() {
        return intake;
    }

    /** Returns how many accepted jobs of a queue have not started; empty if the leader has not published it lately. */
    public OptionalInt waitingJobs(String queue) {
        return leader.waitingJobs(queue);
    }

    /** Tells why the waiting tasks of a job wait; see {@link Scheduler#outlook}. */
    public CompletableFuture<Optional<JobOutlook>> outlook(String job) {
        return scheduler.outlook(job);
    }

    /** Tells whether this entry should receive new connections. */
    public boolean isReady() {
        return !draining && directory.known() && config.healthyFor(0);
    }

    /**
     * Takes this entry out of the rotation, gives up leadership, and waits until the listener's calls are answered or
     * the grace period is nearly over.
     */
    public void drain(HttpListener listener) throws InterruptedException {
        long startMs = clock.nowMs();
        long endMs = startMs + limits.graceMs() - CLOSE_RESERVE_MS;
        draining = true;
        listener.discourage();
        scheduler.close();
        while (clock.nowMs() < endMs && (listener.open() > 0 || clock.nowMs() < startMs + OUT_OF_ROTATION_MS)) {
            Thread.sleep(DRAIN_CHECK_INTERVAL_MS);
        }
    }

    @Override
    public void close() {
        scheduler.close();
        config.close();
        leader.close();
    }
}
