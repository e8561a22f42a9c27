package mothcross.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mothcross.policy.Change.Mode;
import mothcross.policy.Change.Stage;

/**
 * Chooses the next transition of the change under way from the directors' progress reports and the time that has gone
 * by. Any director may coordinate, several at once, and one may take over from another: this state is not stored, and
 * after a crash all directors are asked again. A report counts only for the stage and the incarnation that it names,
 * and no lease is taken to be over before it has surely expired. All times are of the own monotonic clock; only
 * differences matter.
 */
public final class ChangeCoordinator {
    /** The most by which the rates of two directors' clocks differ. */
    static final double MAX_CLOCK_DRIFT_SHARE = 0.02;
    /** Covers the time between the reading of a clock and its use. */
    static final double CLOCK_USE_GRACE_MS = 50;
    private static final double EXCLUSION_DELAY_LEASES = 1;
    private static final int MAX_REASON_CHARS = 500;

    /** A director's last report in the present stage. */
    record Report(long incarnation, PolicyMessage.Progress progress, String reason) { }

    // First revision of the present stage; -1: no change is under way.
    private long stageRevision = -1;
    private Stage stage;
    // When this director heard of the stage.
    private double stageLearnedAt;
    private final Map<String, Report> reports = new HashMap<>();
    // Incarnations that have ended by name: their address has refused a connection.
    private final Map<String, Long> ended = new TreeMap<>();
    // When this director heard that a director is excluded, by Transition.Commit.directorKey.
    private final Map<String, Double> excludedAt = new TreeMap<>();

    public ChangeCoordinator() { }

    /** A copy, for the state explorer. */
    public ChangeCoordinator(ChangeCoordinator other) {
        stageRevision = other.stageRevision;
        stage = other.stage;
        stageLearnedAt = other.stageLearnedAt;
        reports.putAll(other.reports);
        ended.putAll(other.ended);
        excludedAt.putAll(other.excludedAt);
    }

    /** Takes the latest decided register. */
    public void learn(PolicyRegister register, double now) {
        Change change = register.change();
        long newRevision = change == null ? -1 : change.stageRevision();
        Stage newStage = change == null ? null : change.stage();
        if (newRevision != stageRevision || newStage != stage) {
            reports.clear();
            stageLearnedAt = now;
            stageRevision = newRevision;
            stage = newStage;
        }
        if (!register.complete()) return;
        Set<String> excluded = excluded(register);
        excludedAt.keySet().retainAll(excluded);
        for (String key : excluded) excludedAt.putIfAbsent(key, now);
        ended.entrySet().removeIf(entry -> register.registration(entry.getKey(), entry.getValue()) == null);
    }

    private static Set<String> excluded(PolicyRegister register) {
        Set<String> keys = new HashSet<>();
        register.registrations().forEach((name, registration) -> {
            if (registration.excluded()) keys.add(Transition.Commit.directorKey(name, registration.incarnation()));
        });
        return keys;
    }

    /** An address has refused a connection: the incarnation registered there has ended, whatever comes there later. */
    public void onConnectionRefused(PolicyRegister register, String host, int port) {
        register.registrations().forEach((name, registration) -> {
            if (registration.host().equals(host) && registration.port() == port) {
                ended.put(name, registration.incarnation());
            }
        });
    }

    /** Takes a progress report; one of another stage or of an earlier incarnation is ignored. */
    public void onProgress(PolicyRegister register, String from, PolicyMessage.ProgressReport received) {
        if (register.change() == null || received.stageRevision() != stageRevision) return;
        Report former = reports.get(from);
        if (former != null && former.incarnation() > received.incarnation()) return;
        reports.put(from, new Report(received.incarnation(), received.progress(), received.reason()));
    }

    /** All reports of this stage, for another coordinator. */
    public Map<String, PolicyMessage.ProgressReport> reports(long plan) {
        Map<String, PolicyMessage.ProgressReport> copies = new TreeMap<>();
        reports.forEach((name, report) -> copies.put(name, new PolicyMessage.ProgressReport(report.incarnation(),
            stageRevision, plan, report.progress(), report.reason())));
        return copies;
    }

    /** Names of the registered directors that have not reported the progress that this stage waits for. */
    public List<String> awaitedDirectors(PolicyRegister register) {
        List<String> awaited = new ArrayList<>();
        Change change = register.change();
        if (change == null || change.stage() == Stage.TRIAL) return awaited;
        PolicyMessage.Progress wanted = change.stage() == Stage.BINDING ? PolicyMessage.Progress.READY
            : PolicyMessage.Progress.TAKEN;
        for (Map.Entry<String, PolicyRegister.Registration> entry : register.registrations().entrySet()) {
            Report report = reports.get(entry.getKey());
            boolean done = report != null && report.incarnation() == entry.getValue().incarnation()
                && report.progress() == wanted;
            if (!done && !entry.getValue().excluded()) awaited.add(entry.getKey());
        }
        return awaited;
    }

    /** A director's last reported progress in this stage; null where there is none. */
    public PolicyMessage.Progress progress(String name) {
        Report report = reports.get(name);
        return report == null ? null : report.progress();
    }

    /** For operators: by name, the directors that the change waits for, and why. */
    public Map<String, String> blockers(PolicyRegister register, double now) {
        Map<String, String> blockers = new LinkedHashMap<>();
        for (String name : awaitedDirectors(register)) {
            Report report = reports.get(name);
            blockers.put(name, report == null ? "has not answered for " + Math.round(stageElapsed(now)) + " ms"
                : report.progress() + (report.reason().isEmpty() ? "" : ": " + report.reason()));
        }
        register.registrations().forEach((name, registration) -> {
            if (registration.excluded()) blockers.put(name, "excluded; waits until its lease is over");
        });
        return blockers;
    }

    /** How long this director has known of the present stage, in ms. */
    public double stageElapsed(double now) {
        return now - stageLearnedAt;
    }

    /** After this time a lease of another director is over by any clock. */
    private double leaseOverMs(PolicyRegister register) {
        return register.leaseMs() * (1 + MAX_CLOCK_DRIFT_SHARE) + CLOCK_USE_GRACE_MS;
    }

    /** The excluded directors whose last lease is over. */
    private Set<String> leaseOver(PolicyRegister register, double now) {
        Set<String> keys = new HashSet<>();
        excludedAt.forEach((key, since) -> {
            if (now - since >= leaseOverMs(register)) keys.add(key);
        });
        return keys;
    }

    /** The next transition that the reports allow; null where it has to wait. The register has to be complete. */
    public Transition nextTransition(PolicyRegister register, double now) {
        Change change = register.change();
        if (change == null || change.stage() == Stage.TRIAL || change.stageRevision() != stageRevision) return null;
        for (Map.Entry<String, Long> entry : ended.entrySet()) {
            if (register.registration(entry.getKey(), entry.getValue()) != null) {
                return new Transition.RemoveDirector(entry.getKey(), entry.getValue(),
                    "its address refuses connections");
            }
        }
        return change.stage() == Stage.BINDING ? nextInBinding(register, change, now) : nextInSettling(register, now);
    }

    private Transition nextInBinding(PolicyRegister register, Change change, double now) {
        StringBuilder refusals = new StringBuilder();
        Set<String> ready = new HashSet<>();
        register.registrations().forEach((name, registration) -> {
            Report report = reports.get(name);
            if (report == null || report.incarnation() != registration.incarnation()) return;
            if (report.progress() == PolicyMessage.Progress.READY) {
                ready.add(Transition.Commit.directorKey(name, registration.incarnation()));
            }
            if (report.progress() == PolicyMessage.Progress.NO && refusals.length() < MAX_REASON_CHARS) {
                refusals.append(refusals.isEmpty() ? "" : "; ").append(name).append(": ").append(report.reason());
            }
        });
        if (!refusals.isEmpty() && !change.isWithdrawn()) {
            return new Transition.Abort(change.id(), change.stageRevision(), refusals.toString());
        }
        Set<String> leaseOver = leaseOver(register, now);
        List<String> missing = Transition.Commit.missing(register, ready, leaseOver);
        if (missing.isEmpty()) return new Transition.Commit(change.id(), change.stageRevision(), ready, leaseOver);
        if (stageElapsed(now) >= change.deadlineMs()) {
            return new Transition.Abort(change.id(), change.stageRevision(), "not ready by the deadline: " + missing);
        }
        if (change.mode() == Mode.STOP && stageElapsed(now) >= EXCLUSION_DELAY_LEASES * register.leaseMs()) {
            return exclude(register, missing);
        }
        return null;
    }

    /** Excludes the missing directors; null where all of them are excluded already. */
    private static Transition exclude(PolicyRegister register, List<String> missing) {
        Map<String, Long> incarnations = new TreeMap<>();
        for (String name : missing) {
            PolicyRegister.Registration registration = register.registrations().get(name);
            if (!registration.excluded()) incarnations.put(name, registration.incarnation());
        }
        return incarnations.isEmpty() ? null : new Transition.ExcludeDirectors(incarnations);
    }

    /** A director that has not reported to decide by the new plan decides by none once its last lease is over. */
    private Transition nextInSettling(PolicyRegister register, double now) {
        boolean allSettled = awaitedDirectors(register).isEmpty()
            && leaseOver(register, now).containsAll(excluded(register));
        boolean leasesOver = stageElapsed(now) >= leaseOverMs(register);
        return allSettled || leasesOver ? new Transition.Settle(register.plan().number()) : null;
    }

    /**
     * All state that the next transition depends on. Times are given as differences from now, at most {@code maxMs};
     * the text up to the first space is the stage.
     */
    public String fingerprint(double now, double maxMs) {
        StringBuilder text = new StringBuilder().append(stageRevision).append(stage).append(' ')
            .append(Math.min(maxMs, stageElapsed(now))).append(new TreeMap<>(reports)).append(ended);
        excludedAt.forEach((key, since) -> text.append(key).append(Math.min(maxMs, now - since)));
        return text.toString();
    }
}
