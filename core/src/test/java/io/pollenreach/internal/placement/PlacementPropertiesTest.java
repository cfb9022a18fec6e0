package io.pollenreach.internal.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.pollenreach.Adjacency;
import io.pollenreach.Shape;
import io.pollenreach.Urgency;
import io.pollenreach.internal.wire.Part;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/** Random histories of submits, ends and losses; checks the placement invariants after each round. */
class PlacementPropertiesTest {
    private static final int STEPS = 25;
    private static final int QUOTA = 24;

    private final Placer placer =
            GuaranteedPlacer.builder().reserveAfterMs(8).moveAfterMs(4).build();

    @Property(tries = 150, seed = "11")
    void placementInvariantsHoldInEveryRound(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        SampleCluster cluster = new SampleCluster().workers(8, 3, 8);
        for (int i = 0; i < 3; i++) {
            cluster.workspace(
                    "ws" + i, QUOTA, new Shape(1 + random.nextInt(3), 1 + random.nextInt(8), adjacency(random)));
        }
        for (int step = 0; step < STEPS; step++) {
            change(cluster, random, step);
            ClusterView before = cluster.view();
            List<WaitingJob> queue = List.copyOf(cluster.queue);
            Map<String, Decision> decisions = cluster.run(placer, step);
            assertThat(decisions.keySet())
                    .containsExactlyInAnyOrderElementsOf(
                            queue.stream().map(j -> j.spec().key()).collect(Collectors.toSet()));
            decisions.values().forEach(d -> checkPlaced(before, queue, d));
            checkCapacityAndQuota(cluster);
            checkGuaranteedJobStarts(before, queue, decisions);
        }
    }

    private static void change(SampleCluster cluster, Random random, int step) {
        for (int i = 0; i < 3; i++) {
            Shape shape = new Shape(1 + random.nextInt(4), 1 + random.nextInt(8), adjacency(random));
            Urgency urgency = Urgency.values()[random.nextInt(3)];
            cluster.submit("ws" + random.nextInt(3), "j" + step + "-" + i, shape, urgency, random.nextInt(10));
        }
        List<String> running = List.copyOf(cluster.placed.keySet());
        if (!running.isEmpty() && random.nextBoolean()) {
            cluster.end(running.get(random.nextInt(running.size())), false);
        }
        cluster.usable("w" + random.nextInt(8), random.nextInt(3) > 0);
    }

    private static Adjacency adjacency(Random random) {
        return Adjacency.values()[random.nextInt(3)];
    }

    private static void checkPlaced(ClusterView before, List<WaitingJob> queue, Decision decision) {
        if (!(decision instanceof Decision.Place)) {
            return;
        }
        Decision.Place p = (Decision.Place) decision;
        Shape shape = queue.stream()
                .filter(j -> j.spec().key().equals(p.job()))
                .findFirst()
                .orElseThrow()
                .spec()
                .shape();
        assertThat(p.parts().stream().map(Part::rank))
                .containsExactlyElementsOf(
                        IntStream.range(0, shape.parts()).boxed().collect(Collectors.toList()));
        assertThat(p.parts()).allMatch(part -> part.accelerators() == shape.acceleratorsPerPart());
        Map<String, WorkerView> byId = before.workers().stream().collect(Collectors.toMap(WorkerView::id, w -> w));
        Set<String> groups = p.parts().stream()
                .map(part -> byId.get(part.worker()))
                .map(w -> shape.adjacency().group(w.zone(), w.rack()))
                .collect(Collectors.toSet());
        assertThat(groups).hasSize(1);
        assertThat(p.parts()).allMatch(part -> byId.get(part.worker()).usable());
        assertThat(p.victims()).allMatch(v -> before.placed().get(v.job()).borrowed());
    }

    private static void checkCapacityAndQuota(SampleCluster cluster) {
        assertThat(cluster.workers.values()).allMatch(w -> w.free() >= 0);
        Map<String, Integer> used = new HashMap<>();
        cluster.placed
                .values()
                .forEach(p -> used.merge(p.spec().workspace(), p.spec().shape().accelerators(), Integer::sum));
        assertThat(used.values()).allMatch(n -> n <= QUOTA);
    }

    /**
     * The only urgent job of a workspace whose one guarantee is unused must start if the capacity of borrowers and the
     * free capacity cover it.
     */
    private static void checkGuaranteedJobStarts(
            ClusterView before, List<WaitingJob> queue, Map<String, Decision> decisions) {
        for (WaitingJob j : queue) {
            String workspace = j.spec().workspace();
            Shape guarantee = before.workspaces().get(workspace).guarantees().get(0);
            boolean unused = before.placed().values().stream()
                    .noneMatch(p -> !p.borrowed() && p.spec().workspace().equals(workspace));
            boolean startsWithin = decisions.values().stream()
                    .anyMatch(d -> d instanceof Decision.Place
                            && !((Decision.Place) d).borrowed()
                            && !d.job().equals(j.spec().key()));
            if (j.spec().urgency().reclaims()
                    && unused
                    && !startsWithin
                    && j.spec().shape().fitsInto(guarantee)
                    && fitsWithoutBorrowers(before, j.spec().shape())) {
                assertThat(decisions.get(j.spec().key())).isInstanceOf(Decision.Place.class);
            }
        }
    }

    private static boolean fitsWithoutBorrowers(ClusterView before, Shape shape) {
        Map<String, Integer> parts = new HashMap<>();
        for (WorkerView w : before.workers()) {
            int nonReclaimable = w.holdings().stream()
                    .filter(h -> !h.borrowed())
                    .mapToInt(Holding::accelerators)
                    .sum();
            int availableParts = w.usable() ? (w.accelerators() - nonReclaimable) / shape.acceleratorsPerPart() : 0;
            parts.merge(shape.adjacency().group(w.zone(), w.rack()), availableParts, Integer::sum);
        }
        return parts.values().stream().anyMatch(n -> n >= shape.parts());
    }
}
