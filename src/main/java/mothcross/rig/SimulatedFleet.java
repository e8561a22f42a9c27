package mothcross.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import mothcross.fleet.FailureDetectorSettings;
import mothcross.fleet.FleetMember;
import mothcross.fleet.LimitShare;
import mothcross.fleet.MemberHealth;
import mothcross.fleet.MemberRecord;
import mothcross.fleet.Message;
import mothcross.fleet.View;

/**
 * A fleet in virtual time: the members as they are in service, and between them links that lose, delay, double and cut
 * as a script says. Owns the clock and the links; a run is decided by its script and seed, to the byte.
 */
public final class SimulatedFleet {
    /** Stands between the play and a member: tests plant faults here. */
    public interface Spoils {
        /** What of this message a member hears; null: nothing. */
        Message hears(String who, Message m);
    }

    private record Due(double at, long order, Runnable what) implements Comparable<Due> {
        @Override public int compareTo(Due o) {
            int c = Double.compare(at, o.at);
            return c != 0 ? c : Long.compare(order, o.order);
        }
    }

    /** One process; a name may have several in turn, or two at once. */
    private final class Proc implements FleetMember.MemberListener {
        final int id, index;
        final String name, host;
        final int port;
        FleetMember member;
        boolean dead, silentMachine;
        final LimitShare parts = new LimitShare(script.members, 5000, 2000);
        double times;
        double pausedUntil, slow = 1, busyUntil, nextTick = Double.NaN;

        Proc(int index, int port, long life, List<FleetMember.Address> kept) {
            this.id = procs.size();
            this.index = index;
            this.name = "n" + index;
            this.host = "h";
            this.port = port;
            List<FleetMember.Address> seeds = new ArrayList<>();
            for (int i = 0; i < Math.min(3, script.members); i++) seeds.add(new FleetMember.Address("h", 1000 + i));
            seeds.addAll(kept);
            procs.add(this);
            at.put(port, this);
            history.add(now, History.Kind.STARTS, id, name, life);
            member = new FleetMember(name, life, host, port, seeds, pace, chance.split(), this, views);
            tick();
        }

        void tick() {
            if (dead) return;
            if (now < pausedUntil) {
                nextTick = pausedUntil;
                in(pausedUntil - now, this::tick);
                return;
            }
            sendAll(this, member.tick(now));
            partOfLimits();
            double next = Math.max(now + 1, member.nextTickAt());
            nextTick = next;
            if (next < Double.POSITIVE_INFINITY) in(next - now, this::tick);
        }

        private void partOfLimits() {
            double t = parts.multiplier(now, member.phase() == FleetMember.Phase.IN, member.incarnation(),
                member.isUpToDate(now), member.view().size(), member.endedCount());
            if (member.phase() == FleetMember.Phase.STEPPED_BACK) t = 0;
            if (t == times) return;
            times = t;
            double sum = 0;
            for (Proc p : procs) if (!p.dead && now >= p.pausedUntil) sum += p.times / script.members;
            if (sum > mostParts) mostPartsAt = now;
            mostParts = Math.max(mostParts, sum);
        }

        /** Messages that came while it was paused are handled when it goes on, in their order, one by one. */
        void arrives(Message m) {
            if (dead) return;
            double start = Math.max(Math.max(now, pausedUntil), busyUntil);
            busyUntil = start + MESSAGE_TAKES * slow;
            if (start <= now) handle(m);
            else in(start - now, () -> {
                if (now < pausedUntil) arrives(m);
                else handle(m);
            });
        }

        private void handle(Message m) {
            Message h = spoils == null ? m : spoils.hears(name, m);
            if (dead || h == null) return;
            handled++;
            sendAll(this, member.onMessage(now, h));
        }

        @Override public void votes(long base, int round) {
            if (watching) history.votes(now, id, name, member.incarnation(), base);
        }

        @Override public void view(View v, boolean apart, FleetMember.ViewCause cause) {
            if (cause == FleetMember.ViewCause.VOTED || cause == FleetMember.ViewCause.MERGED) {
                for (Proc p : procs) {
                    if (p.dead || now < FORMED) continue;
                    if (v.has(p.name)) outNow.remove(p.name);
                    else if (outNow.add(p.name)) putOut.add(p.name);
                }
            }
            if (cause == FleetMember.ViewCause.VOTED || cause == FleetMember.ViewCause.MERGED
                || cause == FleetMember.ViewCause.TOLD) {
                viewChanges++;
            }
            for (String n : died.keySet()) if (!v.has(n)) knownOut.get(n).putIfAbsent(index, now);
            if (!watching) return;
            List<String> names = new ArrayList<>();
            v.members().forEach(f -> names.add(f.name() + "@" + f.incarnation()));
            history.view(now, id, name, member == null ? 0 : member.incarnation(), v.number, v.digest, apart, names,
                cause.name());
        }

        @Override public void judged(String of, MemberHealth from, MemberHealth to, int accusing) {
            if (to == MemberHealth.SILENT) silences++;
            if (to == MemberHealth.SILENT && died.containsKey(of)) knownSilent.get(of).putIfAbsent(index, now);
        }

        @Override public void self(FleetMember.Phase p, long life) {
            if (p == FleetMember.Phase.STEPPED_BACK) history.add(now, History.Kind.STEPPED_BACK, id, name, life);
        }
    }

    /** From then on a fleet that is played for figures is taken to know itself. */
    private static final double FORMED = 5000;

    /** Ms of a core for a message, with its checksum: measured as 0.05 to 0.1, taken as more. */
    private static final double MESSAGE_TAKES = 0.2;

    public final History history = new History(true);
    /** The most that all parts of a limit that were in use ever came to, of the whole, and when. */
    public double mostParts, mostPartsAt;
    private double partsOverTime, runningOverTime;
    public long sent, bytes, handled, silences, viewChanges;
    /** By the name of one that died: when; and by member when it knew it to be silent, and out of its view. */
    public final Map<String, Double> died = new TreeMap<>();
    public final Map<String, Map<Integer, Double>> knownSilent = new HashMap<>(), knownOut = new HashMap<>();
    private final FaultScript script;
    private final FailureDetectorSettings pace;
    private final SplittableRandom chance;
    private final Spoils spoils;
    private final UnaryOperator<View> views;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final List<Proc> procs = new ArrayList<>();
    private final Map<Integer, Proc> at = new HashMap<>();
    private final Map<Integer, Proc> byIndex = new HashMap<>();
    // Per run: loss by member, cuts by pair (-1: all), and what flaps.
    private final List<double[]> losses = new ArrayList<>();
    private final List<int[]> cuts = new ArrayList<>();
    private final List<Message.Send> kept = new ArrayList<>();
    private final List<String> putOut = new ArrayList<>();
    private final Set<String> outNow = new HashSet<>();
    private final Set<String> excused = new HashSet<>();
    private final Map<Integer, Double> troubled = new HashMap<>(), skews = new HashMap<>();
    private double now = 0, delayed, calmFrom;
    private long orders, lives = 1000;
    private int ports = 1000;
    private final boolean watching;

    private SimulatedFleet(FaultScript script, FailureDetectorSettings pace, long seed, Spoils spoils, boolean watching) {
        this.script = script;
        this.pace = pace;
        this.chance = new SplittableRandom(seed);
        this.spoils = spoils;
        this.watching = watching;
        Map<Long, View> known = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override protected boolean removeEldestEntry(Map.Entry<Long, View> e) {
                return size() > 32;
            }
        };
        views = v -> {
            View same = known.putIfAbsent(v.digest ^ v.number * 31, v);
            return same == null || same.size() != v.size() || same.number != v.number ? v : same;
        };
    }

    /** Plays a script from its begin, where all start together and find each other, to its end. */
    public static SimulatedFleet play(FaultScript script, FailureDetectorSettings pace, long seed, Spoils spoils) {
        return play(script, pace, seed, spoils, true);
    }

    public static SimulatedFleet play(FaultScript script, FailureDetectorSettings pace, long seed, Spoils spoils,
        boolean watching) {
        return play(new SimulatedFleet(script, pace, seed, spoils, watching));
    }

    /** The same with a fleet that knows itself from the first second: for figures of large ones. */
    public static SimulatedFleet formed(FaultScript script, FailureDetectorSettings pace, long seed) {
        SimulatedFleet v = new SimulatedFleet(script, pace, seed, null, false);
        v.in(300, () -> {
            List<MemberRecord> all = new ArrayList<>();
            for (Proc p : v.procs) {
                all.add(new MemberRecord(p.name, p.member.incarnation(), p.host, p.port, MemberRecord.Status.IN, 0));
            }
            View whole = View.of(2, all, pace.rings());
            Message told = new Message(Message.Kind.VIEW, "n", Long.MAX_VALUE, "h", 1, "", 0, "", false, 2,
                whole.digest, List.of(), all);
            for (Proc p : v.procs) p.arrives(told);
        });
        return play(v);
    }

    private static SimulatedFleet play(SimulatedFleet v) {
        FaultScript script = v.script;
        for (int i = 0; i < script.members; i++) {
            int index = i;
            v.in(v.chance.nextInt(200), () -> v.byIndex.put(index, v.new Proc(index, 1000 + index, v.lives++,
                List.of())));
        }
        v.ports += script.members;
        for (FaultScript.Line l : script.lines) v.in(l.at(), () -> v.befalls(l));
        v.run(script.ends);
        return v;
    }

    /** The promises that the run broke; whoever was kept from speaking for long may have been put out. */
    public FleetRules check() {
        return check(excused);
    }

    /** None but these may have been put out. */
    public FleetRules check(Set<String> mayBeOut) {
        return new FleetRules(history).check(mayBeOut);
    }

    /** The part of a limit that was in use, on the average; and what a fixed division had let those use that ran. */
    public double[] meanParts() {
        return new double[] {partsOverTime / now, runningOverTime / now};
    }

    /** The members that were left out of a new view though they ran, once for each time until they were in again. */
    public List<String> putOut() {
        return putOut;
    }

    /** How many members run. */
    public int running() {
        int n = 0;
        for (Proc p : procs) if (!p.dead) n++;
        return n;
    }

    public FleetMember member(int index) {
        return byIndex.get(index).member;
    }

    private void in(double after, Runnable what) {
        queue.add(new Due(now + Math.max(0, after), orders++, what));
    }

    private void run(double until) {
        for (double t = 0; t < until; t += 100) {
            in(t, () -> {
                for (Proc p : procs) {
                    if (p.dead || now < p.pausedUntil) continue;
                    runningOverTime += 100.0 / script.members;
                    partsOverTime += 100 * p.times / script.members;
                }
            });
        }
        for (Due d; (d = queue.peek()) != null && d.at <= until;) {
            queue.poll();
            now = Math.max(now, d.at);
            d.what.run();
        }
        now = until;
    }

    // ---- the links ----

    private void sendAll(Proc from, List<Message.Send> all) {
        for (Message.Send s : List.copyOf(all)) {
            sent++;
            bytes += size(s.message());
            if (kept.size() < 2000 && chance.nextInt(50) == 0) kept.add(s);
            carry(from, s);
        }
    }

    /** About what the wire form takes. */
    private static int size(Message m) {
        int n = 70 + m.from().length() + m.to().length() + m.subject().length() + m.host().length();
        for (var i : m.items()) n += i.size();
        if (m.viewMembers() != null) n += 40 * m.viewMembers().size();
        return n;
    }

    private void carry(Proc from, Message.Send s) {
        Proc to = at.get(s.port());
        if (to != null && from != to && isCut(from, to)) return;
        double takes = 0.5 + chance.nextDouble() + delayed * chance.nextDouble();
        if (to == null || to.dead) {
            boolean refuses = to != null && !to.silentMachine && !isCut(to, from);
            if (refuses && !from.dead) in(takes, () -> {
                if (!from.dead) from.member.onConnectionRefused(s.host(), s.port());
            });
            return;
        }
        // A whole view goes by a stream, which sends again what is lost.
        boolean stream = s.message().kind() == Message.Kind.VIEW;
        for (double[] l : losses) {
            boolean meant = l[0] < 0 || l[0] == from.index || l[0] == to.index;
            if (meant && !stream && chance.nextDouble() < l[1]) return;
        }
        in(takes, () -> {
            Proc there = at.get(s.port());
            if (there != null) there.arrives(s.message());
        });
    }

    private boolean isCut(Proc from, Proc to) {
        for (int[] c : cuts) if ((c[0] < 0 || c[0] == from.index) && (c[1] < 0 || c[1] == to.index)) return true;
        return false;
    }

    // ---- what befalls it ----

    private void befalls(FaultScript.Line l) {
        history.fault(now, l.text());
        calmFrom = Math.max(calmFrom, l.at() + l.lasts());
        // What keeps a member's word back may add up to more than silence is borne. One edge, or loss, does not.
        boolean one = l.whom().size() == 1 && l.to().size() == 1;
        boolean all = l.what() == FaultScript.What.CUT && !one;
        Set<Integer> named = new HashSet<>();
        if (all && l.whom().size() < script.members) named.addAll(l.whom());
        if (all && l.to().size() < script.members) named.addAll(l.to());
        if (l.what() == FaultScript.What.PAUSE || l.what() == FaultScript.What.FLAP) named.addAll(l.whom());
        for (int i : named) {
            if (troubled.merge(i, l.lasts(), Double::sum) > 0.9 * pace.evictionDelayMs()) excused.add("n" + i);
        }
        switch (l.what()) {
            case PAUSE -> each(l, p -> p.pausedUntil = Math.max(p.pausedUntil, now + l.lasts()));
            case KILL, VANISH -> each(l, p -> {
                died.put(p.name, now);
                knownSilent.put(p.name, new HashMap<>());
                knownOut.put(p.name, new HashMap<>());
                end(p, l.what() == FaultScript.What.VANISH);
            });
            case RESTART, FORGET -> each(l, p -> {
                end(p, false);
                // Who kept nothing draws its life from its clock, which may be off.
                long drawn = skews.containsKey(p.index) ? Math.max(1, 1000 + (long) (now + skews.get(p.index)))
                    : ++lives;
                long life = l.what() == FaultScript.What.FORGET ? drawn : p.member.incarnation() + 1;
                lives = Math.max(lives, life) + 1;
                in(l.lasts(), () -> {
                    if (byIndex.get(p.index).dead) byIndex.put(p.index, new Proc(p.index, p.port, life,
                        l.what() == FaultScript.What.FORGET ? List.of() : p.member.addresses()));
                });
            });
            case MOVE -> each(l, p -> {
                end(p, false);
                long life = lives = Math.max(lives, p.member.incarnation()) + 1;
                in(l.lasts(), () -> {
                    if (byIndex.get(p.index).dead) byIndex.put(p.index, new Proc(p.index, ports++, life,
                        p.member.addresses()));
                });
            });
            case TWIN -> each(l, p -> {
                lives = Math.max(lives, p.member.incarnation()) + 5;
                byIndex.put(p.index, new Proc(p.index, ports++, lives, p.member.addresses()));
            });
            case LEAVE -> each(l, p -> {
                sendAll(p, p.member.leave(now));
                end(p, false);
            });
            case LOSS -> {
                for (int i : l.whom()) {
                    if (l.whom().size() == script.members && i > 0) break;
                    double[] loss = {l.whom().size() == script.members ? -1 : i, l.by()};
                    losses.add(loss);
                    in(l.lasts(), () -> losses.remove(loss));
                }
            }
            case SLOW -> each(l, p -> {
                p.slow = l.by();
                in(l.lasts(), () -> p.slow = 1);
            });
            case DELAY -> {
                delayed = l.by();
                in(l.lasts(), () -> delayed = 0);
            }
            case CUT -> {
                boolean from = l.whom().size() == script.members, to = l.to().size() == script.members;
                for (int a : l.whom()) {
                    for (int b : l.to()) cut(new int[] {from ? -1 : a, to ? -1 : b}, l.lasts());
                }
            }
            case FLAP -> {
                for (int a : l.whom()) {
                    for (double t = 0; t + l.by() <= l.lasts(); t += 2 * l.by()) {
                        in(t, () -> {
                            cut(new int[] {a, -1}, l.by());
                            cut(new int[] {-1, a}, l.by());
                        });
                    }
                }
            }
            case OLD -> {
                List<Message.Send> again = List.copyOf(kept);
                for (int i = 0; i < l.by() && !again.isEmpty(); i++) {
                    Message.Send s = again.get(chance.nextInt(again.size()));
                    Proc there = at.get(s.port());
                    if (there != null) in(i, () -> there.arrives(s.message()));
                }
            }
            case SKEW -> {
                for (int i : l.whom()) skews.put(i, l.by());
            }
            case LOOKUPS -> { }                             // among real processes only
            default -> throw new IllegalStateException(l.text() + " is of the policy: PolicyPlay");
        }
    }

    private void cut(int[] c, double lasts) {
        for (int[] known : cuts) if (known[0] == c[0] && known[1] == c[1] && c[0] < 0 && c[1] < 0) return;
        cuts.add(c);
        in(lasts, () -> cuts.remove(c));
    }

    private interface Does {
        void to(Proc p);
    }

    private void each(FaultScript.Line l, Does what) {
        for (int i : l.whom()) {
            Proc p = byIndex.get(i);
            if (p != null && !p.dead) what.to(p);
        }
    }

    private void end(Proc p, boolean machineToo) {
        p.dead = true;
        p.silentMachine = machineToo;
        history.add(now, History.Kind.ENDS, p.id, p.name, p.member.incarnation());
    }
}
