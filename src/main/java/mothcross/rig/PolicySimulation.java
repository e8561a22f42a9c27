package mothcross.rig;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import mothcross.policy.Change;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyParticipant;
import mothcross.policy.PolicyReplica;
import mothcross.policy.Transition;
import mothcross.policy.Voter;

/**
 * Changes of the policy among directors in virtual time: the parties as they serve, disks whose syncs take time and
 * may be cut, links as the script says. Owns the clock, the links and the disks; a play is decided by its script and
 * seed, to the byte. What is seen goes to {@link PolicyRules}, which judges it.
 */
public final class PolicySimulation {
    /** Stands between the play and a director: tests plant faults here. */
    public interface Spoils {
        /** What it hears of this; null: nothing. */
        default PolicyMessage hears(String who, String from, PolicyMessage s) {
            return s;
        }

        /** What is on its disk after this write, once it has crashed. */
        default Voter.State keeps(Voter.State before, Voter.State written) {
            return written;
        }

        /** What holds for its lease and waits, in ms, of what the fleet says. */
        default boolean mayStart(PolicyParticipant p, double now) {
            return p.holder().stopReason(now) == PolicyReplica.StopReason.NO;
        }
    }

    private record Due(double at, long order, Runnable what) implements Comparable<Due> {
        @Override public int compareTo(Due o) {
            int c = Double.compare(at, o.at);
            return c != 0 ? c : Long.compare(order, o.order);
        }
    }

    private static final class Disk {
        Voter.State voter;
        mothcross.policy.PolicyRegister book;
        final Map<String, byte[]> texts = new LinkedHashMap<>();
        boolean refuses;
    }

    /** One director over its lives. */
    private final class Node {
        final int index;
        final String name;
        Disk disk = new Disk();
        PolicyParticipant party;                            // null while it is down
        long life = 1000, deciding = -1;
        int process;
        double pausedUntil, busyUntil;
        int says = LIVES;                                   // so many more messages before it dies
        boolean writing;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        Node(int index) {
            this.index = index;
            this.name = "n" + index;
        }

        void starts() {
            life++;
            process++;
            writing = false;
            deciding = -1;
            waiting.clear();
            if (disk.voter == null) disk.voter = Voter.State.blank("m" + marks++);
            party = new PolicyParticipant(name, life, "h", 1000 + index, voters, () -> names, lease, disk.voter,
                disk.voter.storeId(), disk.book, disk.texts, chance.split());
            rules.starts(now, name);
            ticks(process);
        }

        void ends() {
            party = null;
            process++;
            waiting.clear();
        }

        void ticks(int of) {
            if (of != process) return;
            does(() -> party.tick(now));
            in(Math.max(5, party.nextTickAt() - now), () -> ticks(of));
        }

        /** What comes while it is paused, or waits for its disk, comes after. */
        void does(Runnable what) {
            if (party == null) return;
            if (writing || now < pausedUntil || !waiting.isEmpty()) {
                waiting.add(what);
                if (!writing && now < pausedUntil && waiting.size() == 1) {
                    int of = process;
                    in(pausedUntil - now, () -> goesOn(of));
                }
                return;
            }
            what.run();
            works(new ArrayDeque<>(party.takeActions()));
        }

        void goesOn(int of) {
            if (of != process || writing) return;
            if (now < pausedUntil) {
                in(pausedUntil - now, () -> goesOn(of));
                return;
            }
            while (!waiting.isEmpty() && !writing && party != null) {
                waiting.poll().run();
                works(new ArrayDeque<>(party.takeActions()));
            }
        }

        /** One after the other; a write holds up what comes after it, and what would be sent. */
        void works(ArrayDeque<PolicyParticipant.Action> all) {
            while (!all.isEmpty()) {
                PolicyParticipant.Action w = all.poll();
                if (w instanceof PolicyParticipant.PersistVoterState k) {
                    syncs++;
                    writing = true;
                    int of = process;
                    written = k.state();
                    in(SYNC_LEAST + SYNC_MORE * chance.nextDouble(), () -> synced(of, k, all));
                    return;
                } else if (w instanceof PolicyParticipant.PersistRegister k) {
                    disk.book = k.register();
                } else if (w instanceof PolicyParticipant.ValidateText c) {
                    int of = process;
                    in(CHECK_LEAST + CHECK_MORE * chance.nextDouble(), () -> {
                        if (of != process) return;
                        does(() -> checked(c));
                    });
                } else if (w instanceof PolicyParticipant.DeleteText d) {
                    disk.texts.remove(d.digest());
                } else if (w instanceof PolicyParticipant.ActivatePlan t) {
                    deciding = t.plan().number();
                    rules.knows(now, name, party.register());
                    rules.takes(now, name, t.plan());
                }
                if (all.isEmpty()) all.addAll(party.takeActions());
            }
            rules.knows(now, name, party.register());
            for (PolicyParticipant.Send s : party.takeSends()) carry(this, s);
            mostTexts = Math.max(mostTexts, disk.texts.size());
        }

        Voter.State written;

        void synced(int of, PolicyParticipant.PersistVoterState k, ArrayDeque<PolicyParticipant.Action> left) {
            if (of != process) return;
            if (now < pausedUntil) {
                in(pausedUntil - now, () -> synced(of, k, left));
                return;
            }
            writing = false;
            if (disk.refuses) {
                party.voterStateNotSynced();
            } else {
                disk.voter = spoils.keeps(disk.voter, k.state());
                party.voterStateSynced(now, k.state());
            }
            ArrayDeque<PolicyParticipant.Action> all = new ArrayDeque<>(left);
            all.addAll(party.takeActions());
            works(all);
            goesOn(of);
        }

        void checked(PolicyParticipant.ValidateText c) {
            boolean no = new String(c.bytes(), StandardCharsets.UTF_8).contains("refused by " + name);
            if (!no) disk.texts.put(c.digest(), c.bytes());
            party.textValidated(now, c.digest(), c.bytes(), no ? "can't be compiled here" : null);
        }

        boolean mayStart() {
            return party != null && now >= pausedUntil && deciding >= 0 && spoils.mayStart(party, now);
        }
    }

    private static final int LIVES = -1, DYING = -2;
    private static final double SYNC_LEAST = 1, SYNC_MORE = 5, CHECK_LEAST = 5, CHECK_MORE = 15, LOOKS_EVERY = 40;

    public final PolicyRules rules = new PolicyRules(true);
    public long sent, bytes, syncs;
    public int mostTexts;
    private final FaultScript script;
    private final Spoils spoils;
    private final SplittableRandom chance;
    private final double lease;
    private final Set<String> voters = new TreeSet<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final List<double[]> losses = new ArrayList<>();
    private final List<int[]> cuts = new ArrayList<>();
    private final Map<Integer, Double> skews = new HashMap<>();
    private double now, delayed;
    private long orders;
    private int marks = 1, proposals;

    private PolicySimulation(FaultScript script, double lease, int voters, long seed, Spoils spoils) {
        this.script = script;
        this.lease = lease;
        this.spoils = spoils == null ? new Spoils() { } : spoils;
        chance = new SplittableRandom(seed);
        for (int i = 0; i < Math.min(voters, script.members); i++) this.voters.add("n" + i);
    }

    public static PolicySimulation play(FaultScript script, double lease, int voters, long seed, Spoils spoils) {
        PolicySimulation p = new PolicySimulation(script, lease, voters, seed, spoils);
        for (int i = 0; i < script.members; i++) {
            Node n = p.new Node(i);
            p.nodes.add(n);
            p.names.add(n.name);
            p.in(p.chance.nextInt(200), n::starts);
        }
        for (FaultScript.Line l : script.lines) p.in(l.at(), () -> p.befalls(l));
        for (double t = 0; t < script.ends; t += LOOKS_EVERY) p.in(t, p::look);
        p.run(script.ends);
        Map<String, Long> running = new TreeMap<>();
        for (Node n : p.nodes) if (n.party != null) running.put(n.name, n.mayStart() ? n.deciding : -1);
        p.rules.ends(p.now, running);
        return p;
    }

    private void in(double after, Runnable what) {
        queue.add(new Due(now + Math.max(0, after), orders++, what));
    }

    private void run(double until) {
        for (Due d; (d = queue.peek()) != null && d.at <= until;) {
            queue.poll();
            now = Math.max(now, d.at);
            d.what.run();
        }
        now = until;
    }

    /** Lookups start at each director that runs: which plan would decide them now? */
    private void look() {
        for (Node n : nodes) {
            if (n.party != null && n.party.hasLeft()) n.ends();
            if (n.party == null || now < n.pausedUntil) continue;
            boolean may = n.mayStart();
            rules.starts(now, n.name, may ? n.deciding : -1, n.party.holder().requiresLease(),
                n.party.holder().isRegistered());
        }
    }

    // ---- the links ----

    private void carry(Node from, PolicyParticipant.Send s) {
        if (from.says == DYING) return;
        if (from.says >= 0 && --from.says < 0) {
            from.says = DYING;                              // nothing that it does still, of this message, is heard of
            in(0, () -> ends(from));
            return;
        }
        sent++;
        if (weighs) bytes += s.message().toString().length();
        Node to = nodes.get(Integer.parseInt(s.to().substring(1)));
        if (isCut(from, to)) return;
        for (double[] l : losses) {
            boolean meant = l[0] < 0 || l[0] == from.index || l[0] == to.index;
            if (meant && chance.nextDouble() < l[1]) return;
        }
        int times = chance.nextInt(50) == 0 ? 2 : 1;        // some come twice
        for (int i = 0; i < times; i++) {
            in(0.3 + chance.nextDouble() + delayed * chance.nextDouble(), () -> {
                if (to.party != null) {
                    PolicyMessage what = spoils.hears(to.name, from.name, s.message());
                    if (what != null) to.does(() -> to.party.onMessage(now, from.name, what));
                } else if (from.party != null && !isCut(to, from)) {
                    from.does(() -> from.party.onConnectionRefused("h", 1000 + to.index));
                }
            });
        }
    }

    /** Whether what is sent is weighed: for figures only, as it takes time. */
    public static boolean weighs;

    private boolean isCut(Node from, Node to) {
        for (int[] c : cuts) if ((c[0] < 0 || c[0] == from.index) && (c[1] < 0 || c[1] == to.index)) return true;
        return false;
    }

    // ---- what befalls it ----

    /** Text number {@code n}; 9 is one that n1 can't compile. */
    private static byte[] text(int n) {
        return ("{\"routes\": \"text " + n + (n == 9 ? ", refused by n1" : "") + "\"}").getBytes(
            StandardCharsets.UTF_8);
    }

    private void befalls(FaultScript.Line l) {
        for (int i : l.whom()) {
            Node n = nodes.get(i);
            switch (l.what()) {
                case PAUSE -> {
                    n.pausedUntil = Math.max(n.pausedUntil, now + l.lasts());
                    in(l.lasts(), this::look);              // the first lookup after it wakes, before all else
                }
                case KILL -> {
                    if (n.party != null) ends(n);
                }
                case RESTART, FORGET -> {
                    if (n.party == null) continue;
                    ends(n);
                    if (l.what() == FaultScript.What.FORGET) {
                        n.disk = new Disk();
                        // Who kept nothing draws its life from its clock, which may be off.
                        if (skews.containsKey(i)) n.life = Math.max(1, (long) (1000 + now + skews.get(i)));
                    }
                    in(l.lasts(), () -> {
                        if (n.party == null) n.starts();
                    });
                }
                case LEAVE -> n.does(() -> n.party.leave(now));
                case REFUSE -> {
                    n.disk.refuses = true;
                    in(l.lasts(), () -> n.disk.refuses = false);
                }
                case SKEW -> skews.put(i, l.by());
                case DIE -> {
                    n.says = (int) l.by();
                    in(l.lasts(), () -> {
                        n.says = LIVES;
                        if (n.party == null) n.starts();
                    });
                }
                case VOTERS -> n.does(() -> votes(n, l));
                case PROPOSE, STOP, TRIAL, LEASES, PROMOTE, ABORT -> n.does(() -> asks(n, l));
                default -> { }
            }
        }
        switch (l.what()) {
            case LOSS -> {
                double[] loss = {l.whom().size() == script.members ? -1 : l.whom().get(0), l.by()};
                losses.add(loss);
                in(l.lasts(), () -> losses.remove(loss));
            }
            case DELAY -> {
                delayed = l.by();
                in(l.lasts(), () -> delayed = 0);
            }
            case CUT -> {
                boolean from = l.whom().size() == script.members, to = l.to().size() == script.members;
                for (int a : l.whom()) for (int b : l.to()) {
                    int[] c = {from ? -1 : a, to ? -1 : b};
                    cuts.add(c);
                    in(l.lasts(), () -> cuts.remove(c));
                }
            }
            default -> { }
        }
    }

    /** A crash: of a write under way nothing is known. */
    private void ends(Node n) {
        if (n.writing && chance.nextBoolean()) n.disk.voter = n.written;
        n.ends();
    }

    private void votes(Node n, FaultScript.Line l) {
        Map<String, String> marks = new TreeMap<>();
        for (int i : l.to()) marks.put("n" + i, nodes.get(i).disk.voter.storeId());
        n.party.submit(now, "v" + ++proposals, new Transition.ChangeVoters(n.party.register().voters().number(),
            marks));
    }

    private void asks(Node n, FaultScript.Line l) {
        PolicyParticipant p = n.party;
        Plan plan = p.register().plan();
        Change c = p.register().change();
        String key = "k" + ++proposals;
        if (l.what() == FaultScript.What.PROMOTE || l.what() == FaultScript.What.ABORT) {
            if (c == null) return;
            p.submit(now, key, l.what() == FaultScript.What.PROMOTE ? new Transition.Promote(c.id())
                : new Transition.Abort(c.id(), -1, "asked for"));
            return;
        }
        Change.Mode mode = l.what() == FaultScript.What.STOP ? Change.Mode.STOP : Change.Mode.HOLD;
        if (l.what() == FaultScript.What.LEASES) {
            rules.proposes(now, key, l.lasts());
            p.submit(now, key, new Transition.Propose(key, plan.main(), 0, n.name, "", mode, l.lasts(),
                Plan.Canary.NONE, l.by() > 0));
            return;
        }
        byte[] text = text((int) l.by());
        String digest = "t" + (int) l.by();
        Plan.Canary canary = l.what() != FaultScript.What.TRIAL ? Plan.Canary.NONE : proposals % 2 == 0
            ? new Plan.Canary(List.of("n1"), 0) : new Plan.Canary(List.of(), 0.3);
        n.disk.texts.put(digest, text);
        p.texts().kept(digest, text);
        p.holder().setTextAvailable(digest, true);
        rules.proposes(now, key, l.lasts());
        p.submit(now, key, new Transition.Propose(key, digest, text.length, n.name, "", mode, l.lasts(), canary,
            plan.leases()));
    }

    /** When each director first decided by each plan, for figures. */
    public Map<Long, Map<String, Double>> taken() {
        return rules.taken();
    }

    /** By change, when it was asked for. */
    public Map<String, Double> asked() {
        return new HashMap<>(rules.asked());
    }
}
