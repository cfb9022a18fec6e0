package io.pollenreach.bench.experiment;

/** Delays messages between zones. Not safe for use by many threads. */
final class Network {
    private final EventLoop loop;
    private final Workload.Links links;
    private final Draws draws;

    Network(EventLoop loop, Workload.Links links, long seed) {
        this.loop = loop;
        this.links = links;
        this.draws = new Draws(seed, "network");
    }

    /** Runs an action when a message from one zone has reached another. */
    void send(String from, String to, Runnable action) {
        boolean local = from.equals(to);
        double delay = local ? links.localDelayMs() : links.zoneDelayMs();
        delay += draws.exponential(delay * links.variation());
        while (!local && draws.uniform() < links.loss()) {
            delay += links.resendMs();
        }
        loop.after(delay, action);
    }

    /** Runs an action when a message between a client and an entry has arrived. */
    void toClient(Runnable action) {
        double delay = links.clientDelayMs();
        loop.after(delay + draws.exponential(delay * links.variation()), action);
    }
}
