package io.pollenreach.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.pollenreach.daemon.internal.http.HttpCaller;

/** Loads running entries with agents and prints what an entry costs at each size. Used by one thread. */
@Command(name = "swarm", description = "Measures entries under many agents")
public final class SwarmCommand implements Runnable {
    private static final double PERCENT = 100;
    private static final long READY_TIMEOUT_S = 60;
    private static final long NS_PER_S = 1_000_000_000L;
    /** Keeps the level of the logger, which would be lost with a logger that nobody refers to. */
    private static final Logger LOG = Logger.getLogger("io.pollenreach");

    @Option(name = "--entry", description = "An entry as RPC-ADDRESS,HTTP-ADDRESS,PID; repeat for each")
    private List<String> entries = new ArrayList<>();

    @Option(name = "--size", description = "A number of agents; repeat in growing order")
    private List<Integer> sizes = new ArrayList<>();

    @Option(name = "--settle-s", description = "Seconds between the last join and the measurement")
    private int settleS = 5;

    @Option(name = "--seconds", description = "Seconds of each measurement")
    private int seconds = 15;

    /**
     * What the entries used at one size, on average for each entry.
     *
     * <p>Immutable.
     */
    private record Point(
            int agents, double cpuPercent, double rssMb, double sentBps, double receivedBps, double agentBps) {}

    @Override
    public void run() {
        LOG.setLevel(Level.WARNING);
        List<Integer> steps = sizes.isEmpty() ? List.of(100, 200, 400, 800) : sizes;
        try (HttpCaller http = new HttpCaller(1, 2)) {
            List<EntryProbe> probes =
                    entries.stream().map(e -> EntryProbe.parse(e, http)).toList();
            List<Point> points = new ArrayList<>();
            try (Swarm swarm =
                    new Swarm(probes.stream().map(EntryProbe::rpcAddress).toList())) {
                for (int size : steps) {
                    points.add(measure(swarm, probes, size));
                }
            }
            print(points);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            throw new IllegalStateException("the measurement failed", e);
        }
    }

    private Point measure(Swarm swarm, List<EntryProbe> probes, int size) throws InterruptedException {
        swarm.growTo(size);
        long deadlineNs = System.nanoTime() + READY_TIMEOUT_S * NS_PER_S;
        while (swarm.ready() < size) {
            if (System.nanoTime() > deadlineNs) {
                throw new IllegalStateException("only " + swarm.ready() + " of " + size + " agents have joined");
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        TimeUnit.SECONDS.sleep(settleS);
        long bytes = swarm.bytes();
        List<EntryProbe.Reading> before = probes.stream().map(EntryProbe::read).toList();
        TimeUnit.SECONDS.sleep(seconds);
        List<EntryProbe.Reading> after = probes.stream().map(EntryProbe::read).toList();
        double agentBps = (swarm.bytes() - bytes) / (double) seconds / size;
        return new Point(
                size,
                PERCENT * rate(before, after, EntryProbe.Reading::cpuS),
                after.stream().mapToDouble(EntryProbe.Reading::rssMb).average().orElseThrow(),
                rate(before, after, EntryProbe.Reading::sent),
                rate(before, after, EntryProbe.Reading::received),
                agentBps);
    }

    private static double rate(
            List<EntryProbe.Reading> before,
            List<EntryProbe.Reading> after,
            ToDoubleFunction<EntryProbe.Reading> value) {
        double sum = 0;
        for (int i = 0; i < before.size(); i++) {
            double s = (after.get(i).atNs() - before.get(i).atNs()) / (double) NS_PER_S;
            sum += (value.applyAsDouble(after.get(i)) - value.applyAsDouble(before.get(i))) / s;
        }
        return sum / before.size();
    }

    private void print(List<Point> points) {
        System.out.println("entries " + entries.size() + ", " + seconds + " s each; figures for one entry");
        System.out.println("agents  cpu_percent  rss_mb  sent_B_per_s  received_B_per_s  B_per_s_of_one_agent");
        for (Point p : points) {
            System.out.printf(
                    Locale.ROOT,
                    "%6d  %11.2f  %6.1f  %12.0f  %16.0f  %20.0f%n",
                    p.agents(),
                    p.cpuPercent(),
                    p.rssMb(),
                    p.sentBps(),
                    p.receivedBps(),
                    p.agentBps());
        }
        fit("cpu_percent", points, Point::cpuPercent);
        fit("rss_mb", points, Point::rssMb);
        fit("sent_B_per_s", points, Point::sentBps);
        fit("received_B_per_s", points, Point::receivedBps);
    }

    private static void fit(String name, List<Point> points, ToDoubleFunction<Point> value) {
        if (points.size() < 2) {
            return;
        }
        LeastSquares line = LeastSquares.fit(
                points.stream().map(p -> (double) p.agents()).toList(),
                points.stream().map(value::applyAsDouble).toList());
        System.out.printf(
                Locale.ROOT,
                "%s = %.3f + %.5f for each agent, residual %.3f%n",
                name,
                line.intercept(),
                line.slope(),
                line.residual());
    }
}
