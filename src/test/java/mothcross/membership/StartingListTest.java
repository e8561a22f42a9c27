package mothcross.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mothcross.Director;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/**
 * Histories in which the platform's numbering, the director and its disk start anew in any order, against a plain
 * reference: what the platform has told this start, or else what was kept, about each node, and every purge.
 */
public class StartingListTest {
    private static final int HISTORIES = Integer.getInteger("histories", 400);
    private static final int STARTS = 6;
    private static final int STEPS = 25;
    private static final double PURGE_RETENTION_MS = 1e9;
    private static final AgeLimits LIMITS = new AgeLimits(1e9, 2e9, 1e9, 3, 1000, 8000, 0, 1e9, 1e9);
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e", "f");

    /** The list in a configuration that was written while discovery was away. */
    private static final MembershipSnapshot NOTHING_KNOWN =
        new MembershipSnapshot("f", "d", 0, 0, 0, 0, HashTreePMap.empty(), List.of());

    /** An event of discovery: a change of a node's status, or a purge; the whole list where both are null. */
    private record Event(String node, int status, Purge purge) { }

    /** The platform, which numbers its events anew for each start of the director. */
    private static final class Platform {
        final Map<String, Integer> statuses = new HashMap<>();
        final List<Event> events = new ArrayList<>();
        int purges;

        Platform() {
            for (String node : NODES) statuses.put(node, Director.IN_SERVICE);
        }

        void startOver() {
            events.clear();
            events.add(new Event(null, 0, null));
        }

        void change(SplittableRandom random) {
            if (random.nextInt(3) == 0) {
                events.add(new Event(null, 0, new Purge(-1, ++purges, purges)));
                return;
            }
            String node = NODES.get(random.nextInt(NODES.size()));
            int status = random.nextInt(3);
            statuses.put(node, status);
            events.add(new Event(node, status, null));
        }

        /** The list in the configuration, with all events so far; a whole list has no nodes that are gone. */
        MembershipSnapshot known() {
            Map<String, ListedNode> entries = new HashMap<>();
            statuses.forEach((node, status) -> {
                if (status != Director.REMOVED) entries.put(node, listed(node, status));
            });
            List<Purge> told = events.stream().map(Event::purge).filter(purge -> purge != null).toList();
            return new MembershipSnapshot("f", "d", 0, 0, events.size(), 0, HashTreePMap.from(entries), told);
        }
    }

    private static ListedNode listed(String node, int status) {
        return new ListedNode(node, node, 1, "here", "cache", 0, status, 4, 0, 0, 0, true);
    }

    /** The files of a director: the synced one and the two recent ones, each with when it was saved. */
    private static final class Disk {
        final byte[][] files = new byte[3][];
        final int[] savedAs = new int[3];
        int saves;

        void save(MembershipSnapshot snapshot, int file) {
            files[file] = SnapshotFormat.encode(snapshot);
            savedAs[file] = ++saves;
        }

        /** Loses or tears a file, as a loss of power may. */
        void damage(SplittableRandom random) {
            int file = random.nextInt(files.length);
            if (files[file] == null) return;
            files[file] = random.nextBoolean() ? null : Arrays.copyOf(files[file], random.nextInt(files[file].length));
        }

        /** The newest whole snapshot, which has to be as new as the one saved last. */
        MembershipSnapshot read(String play) {
            MembershipSnapshot newest = null;
            MembershipSnapshot savedLast = null;
            int lastSave = 0;
            for (int file = 0; file < files.length; file++) {
                if (files[file] == null) continue;
                MembershipSnapshot found = SnapshotFormat.decode(files[file], "f", "d", 0, 1e12).snapshot();
                if (found == null) continue;
                if (savedAs[file] > lastSave) {
                    lastSave = savedAs[file];
                    savedLast = found;
                }
                if (newest == null || found.isNewerThan(newest)) newest = found;
            }
            if (newest == null) return null;
            // Of two with the same last event, the clock decides, which may have been set back.
            assertEquals(newest.numbering(), savedLast.numbering(), play + "an older file is taken for the newest");
            assertEquals(newest.lastEvent(), savedLast.lastEvent(), play + "an older file is taken for the newest");
            return newest;
        }
    }

    /** A director from one start to its end, and what it has been told. */
    private static final class Run implements Membership.Listener {
        final String play;
        final Platform platform;
        final Membership membership;
        final Map<String, Integer> told = new HashMap<>();
        final Set<Purge> purges = new HashSet<>();

        Run(String play, Platform platform, MembershipSnapshot configured, MembershipSnapshot kept) {
            this.play = play;
            this.platform = platform;
            this.membership = new Membership(LIMITS, PURGE_RETENTION_MS, new SplittableRandom(1), this);
            MembershipSnapshot start = StartingList.choose(configured, kept);
            membership.restore(start, 0);
            if (kept != null) purges.addAll(kept.purges());
            MembershipSnapshot list = kept == null || !configured.entries().isEmpty() ? configured : kept;
            list.entries().forEach((node, entry) -> told.put(node, entry.status()));
            purges.addAll(configured.purges());
        }

        @Override public void stateChanged(ListedNode entry, NodeState was, NodeState is, double startedAt,
                                           String reason) { }

        /** Discovery tells all events after the last one known. */
        void hear() {
            for (int i = (int) membership.lastEvent(); i < platform.events.size(); i++) {
                Event event = platform.events.get(i);
                long number = i + 1;
                if (event.purge != null) {
                    membership.purged(number, event.purge.object(), event.purge.group(), event.purge.at(), 0);
                    purges.add(event.purge);
                } else if (event.node != null) {
                    tell(number, false, Map.of(event.node, event.status));
                } else {
                    tell(number, true, wholeList());
                }
            }
            membership.confirmUpTo(platform.events.size(), 0);
        }

        /** The first event of a numbering: the list before all that followed. */
        private Map<String, Integer> wholeList() {
            Map<String, Integer> list = new HashMap<>();
            for (String node : NODES) list.put(node, Director.IN_SERVICE);
            return list;
        }

        private void tell(long number, boolean whole, Map<String, Integer> nodes) {
            membership.listStarted(number, whole, 0);
            nodes.forEach((node, status) ->
                membership.nodeListed(node, node, 1, "here", "cache", 0, status, 4, 0, 0));
            membership.listFinished(0);
            told.putAll(nodes);
        }

        void check(String when) {
            told.forEach((node, status) -> {
                NodeState state = membership.stateOf(node);
                boolean used = state != null && state.usable();
                assertFalse(used && status != Director.IN_SERVICE, play + when + ": " + node + " is " + state
                    + " though told as " + status);
            });
            Set<Purge> missing = new HashSet<>(purges);
            missing.removeAll(membership.purges());
            assertTrue(missing.isEmpty(), play + when + ": purges are forgotten: " + missing);
        }
    }

    /**
     * Guards against a kept list that outranks what the platform tells at a start because its event number, of an
     * earlier numbering, is higher: the drain and the purge of the new start were dropped.
     */
    @Test public void whatThisStartWasToldHolds() {
        for (long seed = 0; seed < HISTORIES; seed++) play(seed);
    }

    private static void play(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Platform platform = new Platform();
        Disk disk = new Disk();
        for (int start = 0; start < STARTS; start++) {
            String play = "seed " + seed + ", start " + start + ", ";
            platform.statuses.replaceAll((node, status) -> Director.IN_SERVICE);
            platform.startOver();
            for (int i = random.nextInt(8); i > 0; i--) platform.change(random);
            MembershipSnapshot configured = random.nextInt(3) == 0 ? NOTHING_KNOWN : platform.known();
            Run run = new Run(play, platform, configured, disk.read(play));
            run.check("at the start");
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(4)) {
                    case 0 -> platform.change(random);
                    case 1 -> run.hear();
                    case 2 -> disk.save(run.membership.snapshot("f", "d", random.nextInt(1000)), random.nextInt(3));
                    default -> run.membership.nodeAnswered(NODES.get(random.nextInt(NODES.size())), 0);
                }
                run.check("step " + step);
            }
            if (random.nextInt(3) == 0) disk.damage(random);
        }
    }

    /** A list of an earlier build, without a numbering, is read as of the earliest one. */
    @Test public void listsOfEarlierBuildsAreRead() {
        byte[] bytes = java.util.HexFormat.of().parseHex(EARLIER_LIST);
        SnapshotFormat.Result result = SnapshotFormat.decode(bytes, "f", "d", 1000, 0);
        assertEquals(result.error(), null, result.text());
        assertEquals(result.snapshot().numbering(), 0);
        assertEquals(result.snapshot().lastEvent(), 11);
        assertEquals(result.snapshot().entries().keySet(), Set.of("a"));
        assertEquals(result.snapshot().purges(), List.of(new Purge(-1, 17, 800)));
    }

    /** As written by the build before numberings were kept: one node in service, one purge, event 11. */
    private static final String EARLIER_LIST =
        "6d6f74686c697374000000010000008acd86d237530d9a07000166000164408c200000000000000000000000000b408c"
        + "20000000000000000002000468657265000563616368650000000100016100093132372e302e302e3100000050000000"
        + "0000000001000000000040100000000000000000000000000000408c200000000000000000000000000000000001ffff"
        + "ffffffffffff000000114089000000000000";
}
