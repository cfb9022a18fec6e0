package io.pollenreach.daemon.internal.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.pollenreach.Clock;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.http.HttpCaller;
import io.pollenreach.daemon.internal.log.Events;
import io.pollenreach.daemon.internal.process.WorkThread;
import io.pollenreach.daemon.internal.rpc.RpcNode;
import io.pollenreach.daemon.internal.services.GuardedTable;
import io.pollenreach.daemon.internal.services.HttpObjectStore;
import io.pollenreach.daemon.internal.services.HttpTable;
import io.pollenreach.daemon.internal.services.Table;
import io.pollenreach.daemon.internal.settings.EntrySettings;
import io.pollenreach.daemon.internal.settings.ReloadableDaemon;
import io.pollenreach.internal.membership.EntryInfo;
import io.pollenreach.internal.membership.EntryView;
import io.pollenreach.internal.placement.GuaranteedPlacer;
import io.pollenreach.internal.routing.LoadRouter;
import io.pollenreach.internal.routing.RetryBudget;
import io.pollenreach.internal.wire.Message;

/**
 * The program {@code entry}: resource API, request routing, job scheduling and configuration.
 *
 * <p>Invariants: it serves only once it has a configuration in force, is known to its peers and has pulled their
 * tombstones; a graceful shutdown answers the requests in flight, for up to the drain timeout. Safe for use by many
 * threads.
 *
 * <pre>{@code
 * try (EntryDaemon entry = EntryDaemon.start(settings, Clock.system())) {
 *     awaitSignal();
 * }
 * }</pre>
 */
public final class EntryDaemon implements ReloadableDaemon<EntrySettings> {
    private static final int HTTP_THREADS = 2;
    private static final int PLATFORM_CONNECTIONS = 16;
    private static final long PLATFORM_TIMEOUT_MS = 2_000;
    private static final long PUMP_INTERVAL_MS = 50;
    private static final long JOIN_CHECK_INTERVAL_MS = 100;
    /** How long a starting entry looks for peers before it assumes that there are none, in milliseconds. */
    private static final long PEER_DISCOVERY_MS = 1_000;

    /** Retries and hedged copies together, per request that is sent for the first time. */
    private static final double RETRY_FRACTION = 0.2;

    private static final double RETRY_CAPACITY = 20;
    private static final long DRAIN_CHECK_INTERVAL_MS = 20;
    /** How long peers and the load balancer have to notice the drain before connections close, in milliseconds. */
    private static final long DRAIN_NOTICE_MS = 600;

    private static final Events EVENTS = Events.of(EntryDaemon.class);

    private volatile EntrySettings settings;
    private final Clock clock;
    private final HttpCaller http;
    private final RpcNode rpc;
    private final EntryInfo self;
    private final Blackboard blackboard;
    private final Membership membership;
    private final ConfigController config;
    private final JobController jobs;
    private final JobArchive archive;
    private final RequestController requests;
    private final ScheduledExecutorService planningExecutor = new WorkThread("planning");
    private final ScheduledExecutorService heartbeatExecutor = new WorkThread("beating");
    private final ScheduledExecutorService timerExecutor = new WorkThread("timing");
    private final ScheduledExecutorService previewExecutor = new WorkThread("previewing");
    private final ApiServer api;
    private volatile boolean joined;
    private volatile PeerHandler handler;

    private EntryDaemon(EntrySettings settings, Clock clock) throws Exception {
        this.settings = settings;
        this.clock = clock;
        http = new HttpCaller(HTTP_THREADS, PLATFORM_CONNECTIONS);
        rpc = RpcNode.start(settings.rpcAddress(), this::handle, clock, HTTP_THREADS);
        self = new EntryInfo(rpc.address(), settings.zone(), clock.wallMs(), false, 0);
        blackboard = new Blackboard(new EntryView(self.address(), self.zone(), self.incarnation()), clock);
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        Table table = new GuardedTable(
                new HttpTable(http, settings.platformUri(), PLATFORM_TIMEOUT_MS),
                clock,
                () -> ThreadLocalRandom.current().nextDouble(),
                (delayMs, task) -> timerExecutor.schedule(task, delayMs, TimeUnit.MILLISECONDS),
                Optional.of(metrics));
        WorkerExclusions avoidance = new WorkerExclusions(clock);
        ClusterViews views = new ClusterViews(blackboard, avoidance, clock);
        JobStore store = new JobStore(table, blackboard.jobs(), clock);
        archive = new JobArchive(blackboard, store, clock);
        jobs = jobController(store, avoidance, views);
        config = new ConfigController(blackboard, table, views, rpc, clock, this::requestPlanning);
        membership = new Membership(blackboard, rpc, clock, self, this::requestPlanning, config::poll);
        ClaimStore claims =
                new ClaimStore(table, new HttpObjectStore(http, settings.platformUri(), PLATFORM_TIMEOUT_MS));
        ClaimedSender claimed = new ClaimedSender(blackboard, claims, rpc, clock);
        RetryBudget budget = new RetryBudget(RETRY_FRACTION, RETRY_CAPACITY);
        requests = new RequestController(
                blackboard,
                new TombstoneReplicator(blackboard, rpc, clock),
                new IdempotentSender(rpc, budget, clock),
                claimed,
                LoadRouter.builder().build(),
                budget,
                settings.zone(),
                clock,
                timerExecutor);
        AgentHeartbeatHandler agents =
                new AgentHeartbeatHandler(blackboard, clock, this::requestPlanning, requests::scheduleDispatch);
        handler = new PeerHandler(blackboard, membership, agents, config, jobs, this::ready);
        Access access = new Access(blackboard.config(), () -> this.settings.operatorTokenSha256());
        int maxBody = settings.maxBodyBytes();
        RequestApi requestApi = new RequestApi(requests, claimed, access, clock, maxBody);
        StatusApi status = new StatusApi(blackboard, config, requests, metrics, this::ready, self, clock);
        ConfigApi configApi = new ConfigApi(blackboard, config, access, clock, maxBody);
        JobApi jobApi = new JobApi(blackboard, store, jobs, access, clock, maxBody);
        WhereAnswers whereAnswers = new WhereAnswers(blackboard, jobs, requests, clock);
        WhereApi whereApi = new WhereApi(whereAnswers, access, previewExecutor, maxBody);
        registerGauges(metrics);
        schedule();
        api = ApiServer.start(settings.httpAddress(), maxBody, this::ready, status::addTo, chain -> {
            configApi.addTo(chain);
            jobApi.addTo(chain);
            requestApi.addTo(chain);
            whereApi.addTo(chain);
        });
    }

    /** Starts an entry; returns once its ports are open, though it may not be ready yet. */
    public static EntryDaemon start(EntrySettings settings, Clock clock) throws Exception {
        EntryDaemon entry = new EntryDaemon(settings, clock);
        EVENTS.info(
                "entry-started",
                "entry",
                settings.id(),
                "rpc",
                entry.self.address(),
                "httpPort",
                entry.api.port(),
                "zone",
                settings.zone());
        return entry;
    }

    private JobController jobController(JobStore store, WorkerExclusions avoidance, ClusterViews views) {
        GangClient gangs = new GangClient(rpc);
        GangStarter starter = new GangStarter(blackboard, store, gangs, avoidance, clock);
        GuaranteedPlacer placer = GuaranteedPlacer.builder().build();
        Planner planner = new Planner(blackboard, placer, views, starter, store, clock, this::requestPlanning);
        Supervisor supervisor = new Supervisor(store, gangs, new PartViews(blackboard, clock), clock);
        return new JobController(blackboard, store, planner, supervisor, gangs, rpc, clock, planningExecutor);
    }

    private CompletableFuture<Message> handle(Message m) {
        PeerHandler h = handler;
        if (h == null) {
            return CompletableFuture.failedFuture(
                    new PollenreachException(ResultCode.NOT_READY, "the entry is starting"));
        }
        return h.handle(m);
    }

    private void requestPlanning() {
        JobController j = jobs;
        if (j != null) {
            j.requestCycle();
        }
    }

    private void schedule() {
        long heartbeatIntervalMs = Membership.PEER_BEAT_MS;
        blackboard.entries().learn(settings.peers(), clock.nowMs());
        heartbeatExecutor.scheduleWithFixedDelay(this::sendHeartbeats, 0, heartbeatIntervalMs, TimeUnit.MILLISECONDS);
        heartbeatExecutor.scheduleWithFixedDelay(
                this::joinPeers, JOIN_CHECK_INTERVAL_MS, JOIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        timerExecutor.scheduleWithFixedDelay(config::poll, 0, ConfigController.POLL_MS, TimeUnit.MILLISECONDS);
        timerExecutor.scheduleWithFixedDelay(
                requests::dispatchWaiting, PUMP_INTERVAL_MS, PUMP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        jobs.start();
        timerExecutor.scheduleWithFixedDelay(
                archive::archiveDue, JobArchive.INTERVAL_MS, JobArchive.INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeats() {
        blackboard.listeningSinceMs(clock.nowMs());
        blackboard.entries().learn(settings.peers(), clock.nowMs());
        membership.beat();
        blackboard.targets().sweep(clock.nowMs());
    }

    /** Pulls the tombstones of the peers once they know this entry; it serves only after that. */
    private void joinPeers() {
        if (joined || clock.nowMs() - blackboard.startedMs() < PEER_DISCOVERY_MS) {
            return;
        }
        CompletableFuture<?>[] pulls = blackboard.entries().peers(clock.nowMs()).stream()
                .map(p -> config.pull(p.address()))
                .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(pulls).whenComplete((v, t) -> {
            if (t == null && blackboard.config().known() && !joined) {
                joined = true;
                EVENTS.info("entry-joined-peers", "peers", pulls.length);
            }
        });
    }

    private boolean ready() {
        return joined;
    }

    private void registerGauges(PrometheusMeterRegistry metrics) {
        Gauge.builder("pollenreach.config.version", blackboard, b -> b.config()
                        .get()
                        .version())
                .description("configuration version in force at this entry")
                .register(metrics);
        Gauge.builder("pollenreach.requests.waiting", requests, RequestController::waitingCount)
                .description("requests that wait for a runner")
                .register(metrics);
        Gauge.builder("pollenreach.requests.underway", requests, RequestController::pendingCount)
                .description("requests that have no answer yet")
                .register(metrics);
        Gauge.builder("pollenreach.rpc.sent.bytes", rpc, RpcNode::bytesSent)
                .description("bytes sent to other processes of the system")
                .register(metrics);
        Gauge.builder("pollenreach.rpc.received.bytes", rpc, RpcNode::bytesReceived)
                .description("bytes received from other processes of the system")
                .register(metrics);
    }

    /** Returns the port of the resource API. */
    public int httpPort() {
        return api.port();
    }

    /** Returns where agents and peers reach this entry, as {@code ip:port}. */
    public String rpcAddress() {
        return self.address();
    }

    @Override
    public void reload(EntrySettings next) {
        settings = next;
    }

    @Override
    public void close() throws Exception {
        EVENTS.info("entry-draining", "entry", settings.id(), "open", api.open());
        membership.drain();
        api.drain();
        blackboard.jobs().completeAllWatchers();
        long deadline = clock.nowMs() + settings.drainTimeoutMs();
        while (api.open() > 0 && clock.nowMs() < deadline) {
            Thread.sleep(DRAIN_CHECK_INTERVAL_MS);
        }
        int openAtDeadline = api.open();
        Thread.sleep(DRAIN_NOTICE_MS);
        planningExecutor.shutdownNow();
        heartbeatExecutor.shutdownNow();
        api.close();
        timerExecutor.shutdownNow();
        previewExecutor.shutdownNow();
        rpc.close();
        http.close();
        EVENTS.info("entry-stopped", "entry", settings.id(), "cutOff", openAtDeadline);
    }
}
