package io.pollenreach.internal.membership;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryViewTest {
    private final EntryView view = new EntryView("a", "z1", 1);

    @Test
    void silentEntryIsNotLiveButStillContacted() {
        view.heard("b", "z2", 1, false, 0);
        assertThat(addresses(EntryView.ENTRY_SILENCE_MS - 1)).containsExactly("a", "b");
        assertThat(addresses(EntryView.ENTRY_SILENCE_MS)).containsExactly("a");
        assertThat(view.contacts(EntryView.ENTRY_SILENCE_MS)).containsExactly("b");
        assertThat(view.contacts(EntryView.ENTRY_FORGET_MS)).isEmpty();
    }

    @Test
    void lossesAndRestartsAreRemembered() {
        assertThat(view.steadySinceMs(0)).isEqualTo(Long.MIN_VALUE);
        view.heard("b", "z2", 5, false, 0);
        assertThat(view.heard("b", "z2", 6, false, 100)).isTrue();
        assertThat(view.steadySinceMs(100)).isEqualTo(100);
        assertThat(view.heard("b", "z2", 5, false, 200)).isFalse();
        assertThat(view.steadySinceMs(1_000)).isEqualTo(1_000);
    }

    @Test
    void entryThatPeersHearButThisOneDoesNotCountsAsLost() {
        view.learn(List.of("d"), 0);
        view.learnLive(List.of("b", "c"), 0);
        view.heard("b", "z2", 1, false, 100);
        assertThat(view.steadySinceMs(EntryView.ENTRY_SILENCE_MS - 1)).isEqualTo(Long.MIN_VALUE);
        assertThat(view.steadySinceMs(EntryView.ENTRY_SILENCE_MS)).isEqualTo(EntryView.ENTRY_SILENCE_MS);
    }

    @Test
    void lossThatPeerKnowsIsTakenOver() {
        view.lost(300, 1_000);
        view.lost(900, 1_000);
        assertThat(view.steadySinceMs(1_000)).isEqualTo(700);
    }

    @Test
    void entriesWithOneViewAgreeOnHomesAndPlanner() {
        EntryView other = new EntryView("b", "z2", 1);
        view.heard("b", "z2", 1, false, 0);
        view.heard("c", "z3", 1, false, 0);
        other.heard("a", "z1", 1, false, 0);
        other.heard("c", "z3", 1, false, 0);
        List<String> homes = homes(view);
        assertThat(homes).isEqualTo(homes(other)).contains("a", "b", "c");
        assertThat(view.planner(0)).isEqualTo(other.planner(0));
    }

    @Test
    void lostEntryMovesOnlyItsOwnTargets() {
        view.heard("b", "z2", 1, false, 0);
        view.heard("c", "z3", 1, false, 0);
        List<String> before = homes(view);
        view.heard("c", "z3", 1, true, 1);
        List<String> after = homes(view);
        assertThat(after).doesNotContain("c");
        assertThat(IntStream.range(0, before.size()).filter(i -> !before.get(i).equals("c")))
                .allMatch(i -> before.get(i).equals(after.get(i)));
    }

    @Test
    void drainingEntryIsHomeOnlyWhenAllDrain() {
        view.heard("b", "z2", 1, false, 0);
        view.drain();
        assertThat(homes(view)).containsOnly("b");
        view.heard("b", "z2", 1, true, 1);
        assertThat(homes(view)).contains("a", "b");
    }

    private List<String> addresses(long nowMs) {
        return view.live(nowMs).stream().map(EntryInfo::address).toList();
    }

    private static List<String> homes(EntryView view) {
        return IntStream.range(0, 60).mapToObj(i -> view.homeOf("t" + i, 1)).toList();
    }
}
