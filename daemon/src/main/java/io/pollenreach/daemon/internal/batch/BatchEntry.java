package io.pollenreach.daemon.internal.batch;

import java.util.function.Function;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.daemon.internal.clock.BootClock;
import io.pollenreach.daemon.internal.http.HttpListener;
import io.pollenreach.daemon.internal.intake.JobIntake;
import io.pollenreach.daemon.internal.intake.QueueDirectory;
import io.pollenreach.daemon.internal.scheduler.Advisor;
import io.pollenreach.daemon.internal.scheduler.LeaderWatch;
import io.pollenreach.daemon.internal.scheduler.Scheduler;
import io.pollenreach.daemon.internal.scheduler.SchedulerContext;
import io.pollenreach.daemon.internal.scheduler.WorkerRegistry;
import io.pollenreach.daemon.internal.store.StateStore;
import io.pollenreach.daemon.internal.store.TableWatch;

/**
 * An entry for jobs made of steps: follows the configuration, takes jobs, and schedules while it leads.
 *
 * <p>Invariants: it is ready only with a configuration in force and while it hears the store; a graceful shutdown first
 * takes it out of the balancer's rotation and gives up its leadership, and answers calls until then. Safe for use by many
 * threads.
 */
public final class BatchEntry implements AutoCloseable {
    /** How long one call waits for a new configuration, in milliseconds: keys must be confirmed every few seconds. */
    public static final long CONFIG_WAIT_MS = 1_200;

    /** Kept in hand when the age of keys is checked, in milliseconds: a watch may hear nothing for a second. */
    private static final long KEY_SLACK_MS = 1_300;

    /** The balancer takes a process out of its rotation after two misses, asked once a second; in milliseconds. */
    private static final long OUT_OF_ROTATION_MS = 2_300;

    /** Kept of the grace period for closing, in milliseconds. */
    private static final long CLOSING_MS = 1_500;

    private static final long DRAIN_CHECK_MS = 20;

    /**
     * What bounds an entry.
     *
     * <p>Immutable.
     *
     * @param leaseMs how long a worker keeps its runs after its agent's last report, in milliseconds
     * @param keyAgeMs how long after a key was taken away it may still open a queue, in milliseconds
     * @param graceMs how long a graceful shutdown may take, in milliseconds
     */
    public record Limits(long leaseMs, long keyAgeMs, long graceMs) {}

    private final Limits bounds;
    private final Clock clock;
    private final QueueDirectory directory;
    private final TableWatch config;
    private final LeaderWatch leader;
    private final Scheduler scheduler;
    private final JobIntake intake;
    private volatile boolean draining;

    /**
     * Creates an entry that does nothing yet.
     *
     * @param name its name; unique, and the same after a restart
     * @param store the store
     * @param configTable the table that holds the configuration
     * @param decoder makes what puts rows of that table into force in a directory
     * @param advisor knows which workers may run the steps of advised queues
     * @param registry knows which worker processes exist
     * @param bounds what bounds it
     * @param metrics where it counts
     */
    public BatchEntry(
            String name,
            StateStore store,
            String configTable,
            Function<QueueDirectory, TableWatch.Listener> decoder,
            Advisor advisor,
            WorkerRegistry registry,
            Limits bounds,
            MeterRegistry metrics) {
        this.bounds = bounds;
        clock = Clock.system();
        // A machine that was suspended must not take its knowledge of keys for fresh.
        Clock keyClock = BootClock.createOrSystemClock();
        directory = new QueueDirectory(() -> ageMs(keyClock), bounds.keyAgeMs() - KEY_SLACK_MS);
        config = new TableWatch(store, configTable, CONFIG_WAIT_MS, keyClock, decoder.apply(directory));
        leader = new LeaderWatch(store, clock);
        scheduler = new Scheduler(
                new SchedulerContext(
                        name, store, leader, directory::guarantees, advisor, registry, clock, bounds.leaseMs()),
                metrics);
        intake = new JobIntake(store, leader::healthy, clock);
        Gauge.builder("pollenreach.config.version", directory, QueueDirectory::version)
                .register(metrics);
        Gauge.builder("pollenreach.scheduler.leader", scheduler, s -> s.isLeader() ? 1 : 0)
                .register(metrics);
    }

    private long ageMs(Clock keyClock) {
        return keyClock.nowMs() - config.freshAsOfMs();
    }

    /** Starts to follow the store and to run for leader. */
    public void start() {
        config.start();
        leader.start();
        scheduler.start();
    }

    /** Returns the queues in force. */
    public QueueDirectory directory() {
        return directory;
    }

    /** Returns what takes jobs. */
    public JobIntake intake() {
        return intake;
    }

    /** Returns how many accepted jobs of a queue have not started, as last published by the leader. */
    public int waiting(String queue) {
        return leader.waiting(queue);
    }

    /** Tells whether new connections should come to this entry. */
    public boolean isReady() {
        return !draining && directory.known() && config.healthyFor(0);
    }

    /** Leaves the rotation, gives up leadership, and returns once the listener's calls are answered or time is short. */
    public void drain(HttpListener listener) throws InterruptedException {
        long startMs = clock.nowMs();
        long endMs = startMs + bounds.graceMs() - CLOSING_MS;
        draining = true;
        listener.discourage();
        scheduler.close();
        while (clock.nowMs() < endMs && (listener.open() > 0 || clock.nowMs() < startMs + OUT_OF_ROTATION_MS)) {
            Thread.sleep(DRAIN_CHECK_MS);
        }
    }

    @Override
    public void close() {
        scheduler.close();
        config.close();
        leader.close();
    }
}
