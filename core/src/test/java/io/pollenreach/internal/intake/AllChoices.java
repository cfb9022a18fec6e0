package io.pollenreach.internal.intake;

import java.util.ArrayList;
import java.util.List;

/** Enumerates all sequences of choices of a deterministic procedure that is run again for each. Not thread-safe. */
final class AllChoices {
    private final List<Integer> taken = new ArrayList<>();
    private final List<Integer> sizes = new ArrayList<>();
    private int position;

    /** Returns a choice from 0 to {@code count - 1}. */
    int choose(int count) {
        if (position == taken.size()) {
            taken.add(0);
            sizes.add(count);
        }
        return taken.get(position++);
    }

    boolean chooseFlag() {
        return choose(2) == 1;
    }

    /** Prepares the next run; returns whether there is one. */
    boolean advance() {
        position = 0;
        while (!taken.isEmpty()) {
            int last = taken.size() - 1;
            if (taken.get(last) + 1 < sizes.get(last)) {
                taken.set(last, taken.get(last) + 1);
                return true;
            }
            taken.remove(last);
            sizes.remove(last);
        }
        return false;
    }

    @Override
    public String toString() {
        return "choices " + taken;
    }
}
