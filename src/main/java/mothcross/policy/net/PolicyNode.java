package mothcross.policy.net;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import mothcross.fleet.net.FleetNode;
import mothcross.net.ServingPermit;
import mothcross.policy.Change;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyParticipant;
import mothcross.policy.PolicyRegister;
import mothcross.policy.PolicyReplica;
import mothcross.policy.Transition;
import mothcross.policy.Voter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * A {@link PolicyParticipant} in service: its messages ride on the fleet's, its writes go to disk, its texts are
 * compiled beside. Owns the one thread that it runs on, and the order in which a write comes before what rests on it;
 * must never decide anything, nor send from a step whose write has failed.
 */
public final class PolicyNode implements FleetNode.MessageHandler, ServingPermit, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.policy");
    private static final int MOST_WAITING = 4096;
    private static final long LEAVE_MS = 1500, ASKED_MS = 3000;

    /** What a lookup that starts is held against; made anew with each step, read without a lock. */
    private record Leave(PolicyReplica.StopReason why, long plan, double until) { }

    private final PolicyParticipant party;
    private final PolicyStore kept;
    private final PolicyActivator service;
    private final BiConsumer<String, byte[]> sends;
    private final String fleet, mark;
    private final BlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>(MOST_WAITING);
    private final ExecutorService compiler = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "policy-check");
        t.setDaemon(true);
        return t;
    });
    // Compiled texts by digest; as long as the texts.
    private final Map<String, Object> made = new HashMap<>();
    private final Map<String, Double> voterHeard = new TreeMap<>();
    private final Thread thread = new Thread(this::run, "policy");
    private volatile Leave leave = new Leave(PolicyReplica.StopReason.NOT_SEATED, -1, 0);
    private volatile boolean stopped;
    private Plan taken;
    private long unread, crowded, unwritten;
    private int marksWarned;

    /** {@code address}: where the others reach this one, HOST and port; {@code life} of this process. */
    public PolicyNode(String fleet, String name, long life, String host, int port, Set<String> voters,
                      Supplier<Collection<String>> contacts, double leaseMs, Path dir, PolicyActivator service,
                      BiConsumer<String, byte[]> sends) throws IOException {
        this.fleet = fleet;
        this.service = service;
        this.sends = sends;
        kept = new PolicyStore(dir, fleet, name);
        SplittableRandom chance = new SplittableRandom();
        Voter.State state = kept.voter();
        if (state == null) kept.voter(state = Voter.State.blank(Long.toHexString(chance.nextLong())));
        mark = state.storeId();
        Map<String, byte[]> texts = new HashMap<>();
        for (Map.Entry<String, byte[]> t : kept.texts().entrySet()) {
            List<String> faults = new ArrayList<>();
            Object m = service.compile(t.getKey(), t.getValue(), faults);
            if (m == null) {
                LOG.atWarn().addKeyValue("digest", t.getKey()).addKeyValue("why", faults).log(
                    "policy: a kept text can't be used by this build");
                continue;
            }
            made.put(t.getKey(), m);
            texts.put(t.getKey(), t.getValue());
        }
        party = new PolicyParticipant(name, life, host, port, voters, contacts, leaseMs, state, mark, kept.book(),
            texts, chance);
        thread.setDaemon(true);
    }

    public void start() {
        LOG.atInfo().addKeyValue("name", party.name).addKeyValue("mark", mark).addKeyValue("life",
            party.holder().incarnation())
            .addKeyValue("revision", party.register().revision()).log("policy: begins");
        thread.start();
    }

    /** Spans only: how long it has been since any moment, whatever the Unix clock does. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    // ---- the one thread ----

    private void run() {
        try {
            while (!stopped) {
                double wait = Math.max(1, Math.min(100, party.nextTickAt() - now()));
                Runnable r = waiting.poll((long) (wait * 1000), TimeUnit.MICROSECONDS);
                if (r != null) step(r);
                else step(() -> party.tick(now()));
                if (r != null && now() >= party.nextTickAt()) step(() -> party.tick(now()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(Runnable what) {
        try {
            what.run();
            for (List<PolicyParticipant.Action> works = party.takeActions(); !works.isEmpty();
                 works = party.takeActions()) {
                for (PolicyParticipant.Action w : works) does(w);
            }
        } catch (RuntimeException e) {
            LOG.error("policy: a fault; what this step would have said is not said", e);
            party.takeSends();
        }
        PolicyReplica h = party.holder();
        leave = new Leave(h.stopReason(Double.NEGATIVE_INFINITY), h.plan(), h.requiresLease() ? h.leaseExpiresAt()
            : Double.POSITIVE_INFINITY);
        for (PolicyParticipant.Send s : party.takeSends()) sends.accept(s.to(), PolicyMessageCodec.encode(s.message()));
        warnOfMark();
    }

    private void does(PolicyParticipant.Action w) {
        if (w instanceof PolicyParticipant.PersistVoterState k) {
            try {
                if (!k.state().equals(party.voter().state())) kept.voter(k.state());
                party.voterStateSynced(now(), k.state());
            } catch (IOException e) {
                unwritten++;
                LOG.atWarn().addKeyValue("why", e).log("policy: the disk refuses; this voter does not answer");
                party.voterStateNotSynced();
            }
        } else if (w instanceof PolicyParticipant.PersistRegister k) {
            try {
                kept.book(k.register());
            } catch (IOException e) {
                unwritten++;                                // it is asked for again at the next start
            }
        } else if (w instanceof PolicyParticipant.ValidateText c) {
            compiler.execute(() -> check(c.digest(), c.bytes()));
        } else if (w instanceof PolicyParticipant.DeleteText d) {
            made.remove(d.digest());
            try {
                kept.drop(d.digest());
            } catch (IOException e) {
                unwritten++;
            }
        } else if (w instanceof PolicyParticipant.ActivatePlan t) {
            service.activate(t.plan(), made.get(t.plan().main()), made.get(t.plan().trial()));
            taken = t.plan();
        } else if (w instanceof PolicyParticipant.LogEvent t) {
            LoggingEventBuilder e = LOG.atInfo();
            for (Map.Entry<String, Object> x : t.fields().entrySet()) e = e.addKeyValue(x.getKey(), x.getValue());
            e.log(t.event());
        }
    }

    /** On the compiler's thread: its digest, its meaning, and its place on disk. */
    private void check(String digest, byte[] bytes) {
        List<String> faults = new ArrayList<>();
        String why = null;
        Object m = null;
        if (!PolicyStore.digest(bytes).equals(digest)) {
            why = "";
        } else {
            m = service.compile(digest, bytes, faults);
            if (m == null) why = String.join("; ", faults);
            try {
                if (m != null) kept.text(digest, bytes);
            } catch (IOException e) {
                why = "the disk refuses: " + e.getMessage();
            }
        }
        String found = why;
        Object ready = m;
        later(() -> {
            if (found == null) made.put(digest, ready);
            party.textValidated(now(), digest, bytes, found);
        });
    }

    private void later(Runnable r) {
        if (!waiting.offer(r)) crowded++;
    }

    private void warnOfMark() {
        String right = party.register().voters().storeIds().get(party.name);
        if (right == null || party.register().revision() == 0 || right.equals(mark) || marksWarned++ > 0) return;
        LOG.atWarn().addKeyValue("mark", mark).addKeyValue("known_as", right).log(
            "policy: this voter's disk is not the one that it was named with; its votes do not count");
    }

    // ---- for those who decide lookups ----

    @Override public boolean mayStart() {
        Leave l = leave;
        return l.why == PolicyReplica.StopReason.NO && now() < l.until;
    }

    @Override public double retryAfterMs() {
        return party.register().leaseMs() / 2;
    }

    /** False where it was not on the roll, with its texts, by then. */
    public boolean awaitRegistration(long mostMs) throws InterruptedException {
        double until = now() + mostMs;
        while (!mayStart()) {
            if (now() >= until) return false;
            Thread.sleep(5);
        }
        return true;
    }

    /** For the log, while it waits. */
    public String notReadyReason() {
        return leave.why + ", known revision " + party.register().revision();
    }

    // ---- the fleet's messages ----

    @Override public void onMessage(String from, byte[] body) {
        later(() -> {
            PolicyMessage s = PolicyMessageCodec.decode(body);
            if (s == null) {
                unread++;
                return;
            }
            if (party.register().voters().names().contains(from)) voterHeard.put(from, now());
            party.onMessage(now(), from, s);
        });
    }

    @Override public void onConnectionRefused(String host, int port) {
        later(() -> party.onConnectionRefused(host, port));
    }

    // ---- the operators' questions ----

    /** {@code what} is a word and its arguments; the answer is JSON. */
    @Override public String onAdminRequest(String what, byte[] body) {
        String[] answer = new String[1];
        Object done = new Object();
        synchronized (done) {
            later(() -> {
                String a;
                try {
                    a = answer(what, body);
                } catch (RuntimeException e) {
                    a = failed(String.valueOf(e.getMessage()));
                }
                synchronized (done) {
                    answer[0] = a;
                    done.notifyAll();
                }
            });
            long until = System.nanoTime() + ASKED_MS * 1_000_000;
            try {
                while (answer[0] == null && System.nanoTime() < until) done.wait(ASKED_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return answer[0] == null ? failed("no answer within " + ASKED_MS + " ms") : answer[0];
    }

    private static String failed(String why) {
        JsonObject o = new JsonObject();
        o.addProperty("failed", why);
        return o.toString();
    }

    private record Proposal(String id, String digest, byte[] text, String note, Change.Mode mode, double deadlineMs,
                            Plan.Canary canary, boolean leases) { }

    private String answer(String what, byte[] body) {
        String[] p = what.split(" ", 3);
        JsonObject o = new JsonObject();
        switch (p[0]) {
            case "status" -> {
                return status();
            }
            case "bring" -> party.submitText(p[1], body);
            case "brought" -> o.addProperty("state", party.texts().has(p[1]) ? "kept"
                : party.texts().fault(p[1]) != null
                ? party.texts().fault(p[1]) : party.texts().isChecking(p[1]) ? "checking" : "unknown");
            case "propose" -> {
                Proposal x = PolicyMessageCodec.GSON.fromJson(new String(body, java.nio.charset.StandardCharsets.UTF_8),
                    Proposal.class);
                int size = x.digest.isEmpty() ? 0 : party.texts().bytes(x.digest) == null ? -1
                    : party.texts().bytes(x.digest).length;
                if (size < 0) return failed("its text is not here");
                party.submit(now(), x.id, new Transition.Propose(x.id, x.digest, size, party.name, x.note, x.mode,
                    x.deadlineMs, x.canary, x.leases));
            }
            case "abort" -> party.submit(now(), p[1], new Transition.Abort(p[2], -1, "aborted by an operator at "
                + party.name));
            case "promote" -> party.submit(now(), p[1], new Transition.Promote(p[2]));
            case "strike" -> {
                PolicyRegister b = party.register();
                PolicyRegister.Registration s = b.registrations().get(p[2]);
                if (s == null) return failed(b.complete() ? p[2] + " is not on the roll"
                    : "ask a voter: the roll is there");
                party.submit(now(), p[1], new Transition.RemoveDirector(p[2], s.incarnation(),
                    "struck by an operator at " + party.name));
            }
            case "voters" -> {
                Map<String, String> marks = new TreeMap<>();
                for (String n : p[2].split(",")) {
                    String m = n.contains("=") ? n.substring(n.indexOf('=') + 1)
                        : party.register().voters().storeIds().get(n);
                    if (m == null) return failed(n + " is no voter yet: name it with its mark, NAME=MARK");
                    marks.put(n.replaceAll("=.*", ""), m);
                }
                party.submit(now(), p[1], new Transition.ChangeVoters(party.register().voters().number(), marks));
            }
            case "text" -> {
                byte[] t = party.texts().bytes(p[1]);
                if (t == null) return failed("not here");
                o.addProperty("text", new String(t, java.nio.charset.StandardCharsets.UTF_8));
            }
            case "tried" -> {
                if (party.outcome(p[1]) != null) o.addProperty("outcome", party.outcome(p[1]));
                else o.addProperty("trying", party.isPending(p[1]));
            }
            case "probe" -> party.submit(now(), p[1], new Transition.Probe());
            default -> {
                return failed("no such question: " + p[0]);
            }
        }
        return o.toString();
    }

    private String status() {
        PolicyRegister b = party.register();
        double now = now();
        JsonObject o = new JsonObject();
        o.addProperty("fleet", fleet);
        o.addProperty("name", party.name);
        o.addProperty("life", party.holder().incarnation());
        o.addProperty("mark", mark);
        o.addProperty("revision", b.revision());
        o.addProperty("stopped", party.holder().stopReason(now).toString());
        o.addProperty("bound", party.holder().requiresLease());
        o.addProperty("lease_left_ms", party.holder().requiresLease()
            ? Math.round(party.holder().leaseExpiresAt() - now) : -1);
        o.addProperty("lease_ms", b.leaseMs());
        o.addProperty("deciding_by", party.holder().plan());
        o.add("plan", PolicyMessageCodec.GSON.toJsonTree(b.plan()));
        o.addProperty("previous_text", PolicyParticipant.previousText(b));
        if (b.change() != null) {
            o.add("change", PolicyMessageCodec.GSON.toJsonTree(b.change()));
            o.addProperty("stage_for_ms", Math.round(party.driver().stageElapsed(now)));
            JsonObject up = new JsonObject();
            if (b.complete()) party.driver().blockers(b, now).forEach(up::addProperty);
            o.add("held_up_by", up);
        }
        JsonArray lately = new JsonArray();
        for (PolicyRegister.CompletedChange e : b.recentChanges()) lately.add(PolicyMessageCodec.GSON.toJsonTree(e));
        o.add("lately", lately);
        JsonArray voters = new JsonArray();
        for (Map.Entry<String, String> v : b.voters().storeIds().entrySet()) {
            JsonObject x = new JsonObject();
            String seen = v.getKey().equals(party.name) ? mark : party.observedStoreIds().get(v.getKey());
            x.addProperty("name", v.getKey());
            x.addProperty("mark", v.getValue());
            if (seen != null && !seen.equals(v.getValue()) && b.revision() > 0) x.addProperty("answers_as", seen);
            Double at = v.getKey().equals(party.name) ? Double.valueOf(now) : voterHeard.get(v.getKey());
            if (at != null) x.addProperty("heard_ms_ago", Math.round(now - at));
            voters.add(x);
        }
        o.add("voters", voters);
        o.addProperty("voters_number", b.voters().number());
        if (b.complete()) {
            JsonArray roll = new JsonArray();
            b.registrations().forEach((n, s) -> {
                JsonObject x = new JsonObject();
                x.addProperty("name", n);
                x.addProperty("life", s.incarnation());
                x.addProperty("at", s.host() + ":" + s.port());
                x.addProperty("left_out", s.excluded());
                roll.add(x);
            });
            o.add("roll", roll);
        }
        JsonObject counts = new JsonObject();
        for (PolicyParticipant.Counter c : PolicyParticipant.Counter.values()) {
            counts.addProperty(c.name().toLowerCase(Locale.ROOT), party.count[c.ordinal()]);
        }
        counts.addProperty("unread", unread);
        counts.addProperty("crowded_out", crowded);
        counts.addProperty("unwritten", unwritten);
        o.add("counts", counts);
        return new GsonBuilder().setPrettyPrinting().create().toJson(o);
    }

    /** It has stopped deciding; says so, for a while, until it is off the roll. */
    public void leave() throws InterruptedException {
        later(() -> party.leave(now()));
        double until = now() + LEAVE_MS;
        while (!party.hasLeft() && now() < until) Thread.sleep(5);
    }

    @Override public void close() {
        stopped = true;
        compiler.shutdown();
        thread.interrupt();
    }
}
