package io.pollenreach.internal.preview;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A bounded selection of many candidates, with the number of all by verdict.
 *
 * <p>Those with the first constant of the verdict come first. The others follow in turns, one of each verdict, so that
 * each verdict has an example while there is space. Invariant: the counts cover all candidates, also those left out.
 * Immutable.
 *
 * @param first the candidates selected
 * @param counts how many candidates got each verdict; verdicts that none got are absent
 */
public record Shortlist<T, V extends Enum<V>>(List<T> first, Map<V, Integer> counts) {
    public Shortlist {
        first = List.copyOf(first);
        counts = Map.copyOf(counts);
    }

    /**
     * Selects candidates.
     *
     * @param candidates all candidates; of one verdict the earlier ones are preferred
     * @param type the type of the verdict
     * @param verdict returns the verdict on a candidate
     * @param max how many are selected
     */
    public static <T, V extends Enum<V>> Shortlist<T, V> of(
            List<T> candidates, Class<V> type, Function<T, V> verdict, int max) {
        Map<V, Integer> counts = new EnumMap<>(type);
        List<Turn<T>> turns = new ArrayList<>();
        for (T c : candidates) {
            V v = verdict.apply(c);
            int earlier = counts.merge(v, 1, Integer::sum) - 1;
            turns.add(new Turn<>(c, v.ordinal() == 0 ? 0 : earlier + 1, v.ordinal()));
        }
        List<T> first = turns.stream()
                .sorted(Comparator.<Turn<T>>comparingInt(Turn::turn).thenComparingInt(Turn::verdict))
                .limit(max)
                .map(Turn::candidate)
                .toList();
        return new Shortlist<>(first, counts);
    }

    private record Turn<T>(T candidate, int turn, int verdict) {}
}
