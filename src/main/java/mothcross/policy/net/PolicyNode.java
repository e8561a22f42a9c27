package mothcross.policy.net;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
import mothcross.policy.PolicyTexts;
import mothcross.policy.Transition;
import mothcross.policy.Voter;
import mothcross.policy.VoterSet;
import mothcross.storage.FileReplacer;
import mothcross.storage.SyncedFileReplacer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The I/O layer of a {@link PolicyParticipant}: carries its messages over the fleet's links, writes its state to disk,
 * compiles its texts, and answers requests of the command line. The participant runs on one thread. In each step all
 * actions, with their writes and syncs, are done before any message of the step is sent; where the step fails with an
 * exception nothing of it is sent.
 */
public final class PolicyNode implements FleetNode.MessageHandler, ServingPermit, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.policy");
    private static final Gson GSON = PolicyMessageCodec.GSON;
    private static final int MAX_QUEUED_TASKS = 4096;
    private static final double MIN_WAIT_MS = 1;
    private static final double MAX_WAIT_MS = 100;
    private static final long LEAVE_TIMEOUT_MS = 1500;
    private static final long ADMIN_TIMEOUT_MS = 3000;
    private static final long WAIT_POLL_MS = 5;

    /** Whether a lookup may start; replaced after each step, and read without a lock. */
    private record Permit(PolicyReplica.StopReason stopReason, long plan, double expiresAt) { }

    /** The body of the admin request "propose". */
    private record Proposal(String id, String digest, byte[] text, String note, Change.Mode mode, double deadlineMs,
                            Plan.Canary canary, boolean leases) { }

    private final PolicyParticipant participant;
    private final PolicyStore store;
    private final PolicyActivator activator;
    private final BiConsumer<String, byte[]> sender;
    private final String fleet;
    private final String storeId;
    private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>(MAX_QUEUED_TASKS);
    private final ExecutorService compiler = Executors.newSingleThreadExecutor(task -> {
        Thread compilerThread = new Thread(task, "policy-check");
        compilerThread.setDaemon(true);
        return compilerThread;
    });
    // By digest, for the texts that are stored.
    private final Map<String, Object> compiledTexts = new HashMap<>();
    private final Map<String, Double> voterHeardAt = new TreeMap<>();
    private final Thread thread = new Thread(this::run, "policy");
    private volatile Permit permit = new Permit(PolicyReplica.StopReason.NOT_SEATED, -1, 0);
    private volatile boolean stopped;
    private long undecodableMessages;
    private long droppedTasks;
    private long failedWrites;
    private boolean storeIdWarned;

    /**
     * {@code host} and {@code port} are where the other directors reach this one, {@code incarnation} that of this
     * process, {@code directory} that of the policy's files. {@code sender} sends a message to a director by name.
     */
    public PolicyNode(String fleet, String name, long incarnation, String host, int port, Set<String> voters,
                      Supplier<Collection<String>> contacts, double leaseMs, Path directory, PolicyActivator activator,
                      BiConsumer<String, byte[]> sender) throws IOException {
        this(fleet, name, incarnation, host, port, voters, contacts, leaseMs, directory, activator, sender,
            new SyncedFileReplacer());
    }

    PolicyNode(String fleet, String name, long incarnation, String host, int port, Set<String> voters,
               Supplier<Collection<String>> contacts, double leaseMs, Path directory, PolicyActivator activator,
               BiConsumer<String, byte[]> sender, FileReplacer replacer) throws IOException {
        this.fleet = fleet;
        this.activator = activator;
        this.sender = sender;
        store = new PolicyStore(replacer, directory, fleet, name);
        SplittableRandom random = new SplittableRandom();
        Voter.State voterState = store.readVoterState();
        if (voterState == null) {
            voterState = Voter.State.blank(Long.toHexString(random.nextLong()));
            store.writeVoterState(voterState);
        }
        storeId = voterState.storeId();
        Map<String, byte[]> texts = compileStoredTexts();
        participant = new PolicyParticipant(name, incarnation, host, port, voters, contacts, leaseMs, voterState,
            storeId, store.readRegister(), texts, random);
        thread.setDaemon(true);
    }

    private Map<String, byte[]> compileStoredTexts() throws IOException {
        Map<String, byte[]> usable = new HashMap<>();
        for (Map.Entry<String, byte[]> text : store.readTexts().entrySet()) {
            List<String> faults = new ArrayList<>();
            Object compiled = activator.compile(text.getKey(), text.getValue(), faults);
            if (compiled == null) {
                LOG.atWarn().addKeyValue("digest", text.getKey()).addKeyValue("why", faults).log(
                    "policy: a stored text can't be compiled by this build");
                continue;
            }
            compiledTexts.put(text.getKey(), compiled);
            usable.put(text.getKey(), text.getValue());
        }
        return usable;
    }

    /** Starts the thread that the participant runs on. */
    public void start() {
        LOG.atInfo().addKeyValue("name", participant.name).addKeyValue("mark", storeId)
            .addKeyValue("life", participant.replica().incarnation())
            .addKeyValue("revision", participant.register().revision()).log("policy: started");
        thread.start();
    }

    /** Monotonic, so that differences are right whatever happens to the wall clock. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    // ---- the participant's thread ----

    private void run() {
        try {
            while (!stopped) {
                double waitMs = Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, participant.nextTickAt() - now()));
                Runnable task = tasks.poll((long) (waitMs * 1000), TimeUnit.MICROSECONDS);
                if (task != null) step(task);
                else step(() -> participant.tick(now()));
                if (task != null && now() >= participant.nextTickAt()) step(() -> participant.tick(now()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(Runnable task) {
        try {
            task.run();
            for (List<PolicyParticipant.Action> actions = participant.takeActions(); !actions.isEmpty();
                 actions = participant.takeActions()) {
                for (PolicyParticipant.Action action : actions) perform(action);
            }
        } catch (RuntimeException e) {
            LOG.error("policy: a step failed; its messages are not sent", e);
            participant.takeSends();
        }
        PolicyReplica replica = participant.replica();
        permit = new Permit(replica.stopReason(Double.NEGATIVE_INFINITY), replica.plan(),
            replica.requiresLease() ? replica.leaseExpiresAt() : Double.POSITIVE_INFINITY);
        for (PolicyParticipant.Send send : participant.takeSends()) {
            sender.accept(send.to(), PolicyMessageCodec.encode(send.message()));
        }
        warnOfReplacedDisk();
    }

    private void perform(PolicyParticipant.Action action) {
        if (action instanceof PolicyParticipant.PersistVoterState persist) {
            persistVoterState(persist.state());
        } else if (action instanceof PolicyParticipant.PersistRegister persist) {
            try {
                store.writeRegister(persist.register());
            } catch (IOException e) {
                failedWrites++;                             // the next start asks the voters for it
            }
        } else if (action instanceof PolicyParticipant.ValidateText validate) {
            compiler.execute(() -> validate(validate.digest(), validate.bytes()));
        } else if (action instanceof PolicyParticipant.DeleteText delete) {
            compiledTexts.remove(delete.digest());
            try {
                store.deleteText(delete.digest());
            } catch (IOException e) {
                failedWrites++;
            }
        } else if (action instanceof PolicyParticipant.ActivatePlan activate) {
            Plan plan = activate.plan();
            activator.activate(plan, compiledTexts.get(plan.main()), compiledTexts.get(plan.trial()));
        } else if (action instanceof PolicyParticipant.LogEvent logged) {
            LoggingEventBuilder event = LOG.atInfo();
            for (Map.Entry<String, Object> field : logged.fields().entrySet()) {
                event = event.addKeyValue(field.getKey(), field.getValue());
            }
            event.log(logged.event());
        }
    }

    private void persistVoterState(Voter.State state) {
        try {
            if (!state.equals(participant.voter().state())) store.writeVoterState(state);
            participant.voterStateSynced(now(), state);
        } catch (IOException e) {
            failedWrites++;
            LOG.atWarn().addKeyValue("why", e).log("policy: can't write the voter's state; this voter does not answer");
            participant.voterStateNotSynced();
        }
    }

    /** On the compiler's thread: compares the text with its digest, compiles it and writes it to disk. */
    private void validate(String digest, byte[] bytes) {
        List<String> faults = new ArrayList<>();
        String reason = null;
        Object compiled = null;
        if (!PolicyStore.digest(bytes).equals(digest)) {
            reason = "";
        } else {
            compiled = activator.compile(digest, bytes, faults);
            if (compiled == null) reason = String.join("; ", faults);
            try {
                if (compiled != null) store.writeText(digest, bytes);
            } catch (IOException e) {
                reason = "can't write the text to disk: " + e.getMessage();
            }
        }
        String result = reason;
        Object compiledText = compiled;
        enqueue(() -> {
            if (result == null) compiledTexts.put(digest, compiledText);
            participant.textValidated(now(), digest, bytes, result);
        });
    }

    private void enqueue(Runnable task) {
        if (!tasks.offer(task)) droppedTasks++;
    }

    private void warnOfReplacedDisk() {
        String expected = participant.register().voters().storeIds().get(participant.name);
        if (expected == null || participant.register().revision() == 0 || expected.equals(storeId)) return;
        if (storeIdWarned) return;
        storeIdWarned = true;
        LOG.atWarn().addKeyValue("mark", storeId).addKeyValue("known_as", expected).log(
            "policy: this voter's disk is not the one that it was registered with; its votes do not count");
    }

    // ---- for those who decide lookups ----

    @Override public boolean mayStart() {
        Permit current = permit;
        return current.stopReason == PolicyReplica.StopReason.NO && now() < current.expiresAt;
    }

    @Override public double retryAfterMs() {
        return participant.register().leaseMs() / 2;
    }

    /** Waits until this director is registered and has its texts; false where it was not within {@code timeoutMs}. */
    public boolean awaitRegistration(long timeoutMs) throws InterruptedException {
        double until = now() + timeoutMs;
        while (!mayStart()) {
            if (now() >= until) return false;
            Thread.sleep(WAIT_POLL_MS);
        }
        return true;
    }

    /** Why it may not serve yet, for the log. */
    public String notReadyReason() {
        return permit.stopReason + ", known revision " + participant.register().revision();
    }

    // ---- the fleet's messages ----

    @Override public void onMessage(String from, byte[] body) {
        enqueue(() -> {
            PolicyMessage message = PolicyMessageCodec.decode(body);
            if (message == null) {
                undecodableMessages++;
                return;
            }
            if (participant.register().voters().names().contains(from)) voterHeardAt.put(from, now());
            participant.onMessage(now(), from, message);
        });
    }

    @Override public void onConnectionRefused(String host, int port) {
        enqueue(() -> participant.onConnectionRefused(host, port));
    }

    // ---- requests of operators ----

    /** Answers a request, a word followed by its arguments, in JSON; {@code body} is its attachment. */
    @Override public String onAdminRequest(String request, byte[] body) {
        String[] answer = new String[1];
        Object lock = new Object();
        synchronized (lock) {
            enqueue(() -> {
                String result;
                try {
                    result = answer(request, body);
                } catch (RuntimeException e) {
                    result = failed(String.valueOf(e.getMessage()));
                }
                synchronized (lock) {
                    answer[0] = result;
                    lock.notifyAll();
                }
            });
            long until = System.nanoTime() + ADMIN_TIMEOUT_MS * 1_000_000;
            try {
                while (answer[0] == null && System.nanoTime() < until) lock.wait(ADMIN_TIMEOUT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return answer[0] == null ? failed("no answer within " + ADMIN_TIMEOUT_MS + " ms") : answer[0];
    }

    private static String failed(String reason) {
        JsonObject answer = new JsonObject();
        answer.addProperty("failed", reason);
        return answer.toString();
    }

    private String answer(String request, byte[] body) {
        String[] words = request.split(" ", 3);
        JsonObject answer = new JsonObject();
        switch (words[0]) {
            case "status" -> {
                return status();
            }
            case "bring" -> participant.submitText(words[1], body);
            case "brought" -> answer.addProperty("state", textState(words[1]));
            case "propose" -> {
                return submitProposal(body);
            }
            case "abort" -> submit(words[1],
                new Transition.Abort(words[2], -1, "aborted by an operator at " + participant.name));
            case "promote" -> submit(words[1], new Transition.Promote(words[2]));
            case "strike" -> {
                return submitRemoval(words[1], words[2]);
            }
            case "voters" -> {
                return submitVoters(words[1], words[2]);
            }
            case "text" -> {
                byte[] text = participant.texts().bytes(words[1]);
                if (text == null) return failed("the text is not stored at this director");
                answer.addProperty("text", new String(text, StandardCharsets.UTF_8));
            }
            case "tried" -> {
                String outcome = participant.outcome(words[1]);
                if (outcome != null) answer.addProperty("outcome", outcome);
                else answer.addProperty("trying", participant.isPending(words[1]));
            }
            case "probe" -> submit(words[1], new Transition.Probe());
            default -> {
                return failed("unknown request: " + words[0]);
            }
        }
        return answer.toString();
    }

    private void submit(String key, Transition transition) {
        participant.submit(now(), key, transition);
    }

    /** "kept", "checking", "unknown", or why the text was rejected. */
    private String textState(String digest) {
        PolicyTexts texts = participant.texts();
        if (texts.contains(digest)) return "kept";
        if (texts.rejectionReason(digest) != null) return texts.rejectionReason(digest);
        return texts.isValidating(digest) ? "checking" : "unknown";
    }

    private String submitProposal(byte[] body) {
        Proposal proposal = GSON.fromJson(new String(body, StandardCharsets.UTF_8), Proposal.class);
        int size = 0;
        if (!proposal.digest.isEmpty()) {
            byte[] text = participant.texts().bytes(proposal.digest);
            if (text == null) return failed("the text of the proposal is not stored at this director");
            size = text.length;
        }
        submit(proposal.id, new Transition.Propose(proposal.id, proposal.digest, size, participant.name, proposal.note,
            proposal.mode, proposal.deadlineMs, proposal.canary, proposal.leases));
        return new JsonObject().toString();
    }

    private String submitRemoval(String key, String director) {
        PolicyRegister register = participant.register();
        PolicyRegister.Registration registration = register.registrations().get(director);
        if (registration == null) {
            return failed(register.complete() ? director + " is not registered"
                : "this director does not know all registrations: ask a voter");
        }
        submit(key, new Transition.RemoveDirector(director, registration.incarnation(),
            "removed by an operator at " + participant.name));
        return new JsonObject().toString();
    }

    /** {@code names} are NAME or NAME=MARK, separated by commas; the mark is the voter's store id. */
    private String submitVoters(String key, String names) {
        VoterSet voters = participant.register().voters();
        Map<String, String> storeIds = new TreeMap<>();
        for (String entry : names.split(",")) {
            String id = entry.contains("=") ? entry.substring(entry.indexOf('=') + 1) : voters.storeIds().get(entry);
            if (id == null) return failed(entry + " is no voter yet: name it with its mark, NAME=MARK");
            storeIds.put(entry.replaceAll("=.*", ""), id);
        }
        submit(key, new Transition.ChangeVoters(voters.number(), storeIds));
        return new JsonObject().toString();
    }

    private String status() {
        PolicyRegister register = participant.register();
        PolicyReplica replica = participant.replica();
        double now = now();
        JsonObject status = new JsonObject();
        status.addProperty("fleet", fleet);
        status.addProperty("name", participant.name);
        status.addProperty("life", replica.incarnation());
        status.addProperty("mark", storeId);
        status.addProperty("revision", register.revision());
        status.addProperty("stopped", replica.stopReason(now).toString());
        status.addProperty("bound", replica.requiresLease());
        status.addProperty("lease_left_ms", replica.requiresLease()
            ? Math.round(replica.leaseExpiresAt() - now) : -1);
        status.addProperty("lease_ms", register.leaseMs());
        status.addProperty("deciding_by", replica.plan());
        status.add("plan", GSON.toJsonTree(register.plan()));
        status.addProperty("previous_text", PolicyParticipant.previousText(register));
        if (register.change() != null) {
            status.add("change", GSON.toJsonTree(register.change()));
            status.addProperty("stage_for_ms", Math.round(participant.coordinator().stageElapsed(now)));
            JsonObject blockers = new JsonObject();
            if (register.complete()) {
                participant.coordinator().blockers(register, now).forEach(blockers::addProperty);
            }
            status.add("held_up_by", blockers);
        }
        JsonArray completed = new JsonArray();
        for (PolicyRegister.CompletedChange change : register.recentChanges()) completed.add(GSON.toJsonTree(change));
        status.add("lately", completed);
        status.add("voters", voterStatus(register, now));
        status.addProperty("voters_number", register.voters().number());
        if (register.complete()) status.add("roll", registrationStatus(register));
        status.add("counts", counters());
        return new GsonBuilder().setPrettyPrinting().create().toJson(status);
    }

    private JsonArray voterStatus(PolicyRegister register, double now) {
        JsonArray voters = new JsonArray();
        register.voters().storeIds().forEach((name, expected) -> {
            JsonObject voter = new JsonObject();
            boolean isThis = name.equals(participant.name);
            String observed = isThis ? storeId : participant.observedStoreIds().get(name);
            voter.addProperty("name", name);
            voter.addProperty("mark", expected);
            if (observed != null && !observed.equals(expected) && register.revision() > 0) {
                voter.addProperty("answers_as", observed);
            }
            Double heardAt = isThis ? Double.valueOf(now) : voterHeardAt.get(name);
            if (heardAt != null) voter.addProperty("heard_ms_ago", Math.round(now - heardAt));
            voters.add(voter);
        });
        return voters;
    }

    private static JsonArray registrationStatus(PolicyRegister register) {
        JsonArray registrations = new JsonArray();
        register.registrations().forEach((name, registration) -> {
            JsonObject director = new JsonObject();
            director.addProperty("name", name);
            director.addProperty("life", registration.incarnation());
            director.addProperty("at", registration.host() + ":" + registration.port());
            director.addProperty("left_out", registration.excluded());
            registrations.add(director);
        });
        return registrations;
    }

    private JsonObject counters() {
        JsonObject counters = new JsonObject();
        for (PolicyParticipant.Counter counter : PolicyParticipant.Counter.values()) {
            counters.addProperty(counter.name().toLowerCase(Locale.ROOT), participant.counts[counter.ordinal()]);
        }
        counters.addProperty("unread", undecodableMessages);
        counters.addProperty("crowded_out", droppedTasks);
        counters.addProperty("unwritten", failedWrites);
        return counters;
    }

    /** Stops deciding lookups and waits for a while to be removed from the register. */
    public void leave() throws InterruptedException {
        enqueue(() -> participant.leave(now()));
        double until = now() + LEAVE_TIMEOUT_MS;
        while (!participant.hasLeft() && now() < until) Thread.sleep(WAIT_POLL_MS);
    }

    @Override public void close() {
        stopped = true;
        compiler.shutdown();
        thread.interrupt();
    }
}
