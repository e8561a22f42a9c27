package mothcross.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A replica whose voters need any time for each reply, against a plain reference of what its lease may be. */
public class PolicyReplicaTest {
    private static final double LEASE_MS = 3000;
    private static final double TICK_MS = 20;
    private static final double RUN_MS = 60_000;
    /** A request is sent in each quarter of a lease, so a reply after three quarters still comes in time. */
    private static final double SLOWEST_IN_TIME_MS = LEASE_MS * 3 / 4 - 2 * TICK_MS;
    private static final Map<String, String> VOTERS = Map.of("a", "ma", "b", "mb", "c", "mc");

    private record Reply(double at, String voter, long number) { }

    private static PolicyRegister register(long revision) {
        Plan plan = new Plan(1, "", "", Plan.Canary.NONE, true);
        return new PolicyRegister(revision, LEASE_MS, new VoterSet(1, VOTERS),
            Map.of("d", new PolicyRegister.Registration(1, "127.0.0.1", 1, false)), plan, null, List.of(), true);
    }

    private static PolicyReplica newReplica() {
        return new PolicyReplica("d", 1, PolicyRegister.initial(VoterSet.initial(Set.of()), LEASE_MS));
    }

    /**
     * Guards against a director that stops deciding lookups because its voters need longer for each reply than a
     * quarter of the lease: each reply came when the next request was out, and did not count.
     */
    @Test public void slowVotersKeepALease() {
        for (int seed = 0; seed < 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double slowestMs = random.nextDouble() * SLOWEST_IN_TIME_MS;
            PolicyReplica replica = newReplica();
            replica.learn(register(1));
            PriorityQueue<Reply> replies = new PriorityQueue<>((x, y) -> Double.compare(x.at, y.at));
            Map<Long, Double> askedAt = new HashMap<>();
            Map<Long, Set<String>> grantedBy = new HashMap<>();
            double latestGrant = Double.NEGATIVE_INFINITY;
            for (double now = 0; now < RUN_MS; now += TICK_MS) {
                PolicyMessage.LeaseRequest request = replica.nextLeaseRequest(now);
                if (request != null) {
                    askedAt.put(request.number(), now);
                    for (String voter : VOTERS.keySet()) {
                        double delayMs = slowestMs * (0.5 + 0.5 * random.nextDouble());
                        replies.add(new Reply(now + delayMs, voter, request.number()));
                    }
                }
                while (!replies.isEmpty() && replies.peek().at <= now) {
                    Reply reply = replies.poll();
                    replica.onLeaseReply(reply.voter,
                        new PolicyMessage.LeaseReply(reply.number, VOTERS.get(reply.voter), true, 1));
                    Set<String> granted = grantedBy.computeIfAbsent(reply.number, number -> new HashSet<>());
                    granted.add(reply.voter);
                    if (granted.size() >= 2) latestGrant = Math.max(latestGrant, askedAt.get(reply.number));
                }
                assertEquals(replica.leaseExpiresAt(), latestGrant + LEASE_MS, "it counts from when it was asked for");
                boolean granted = latestGrant > Double.NEGATIVE_INFINITY;
                assertTrue(!granted || replica.stopReason(now) == PolicyReplica.StopReason.NO, "seed " + seed
                    + ": no lease at " + now + ", replies take up to " + slowestMs + " ms");
            }
            assertTrue(latestGrant > 0, "seed " + seed + ": never a lease");
        }
    }

    /** What voters granted under a register does not count once a later one is known. */
    @Test public void grantsOfAnEarlierRegisterDoNotCount() {
        PolicyReplica replica = newReplica();
        replica.learn(register(1));
        long first = replica.nextLeaseRequest(0).number();
        long second = replica.nextLeaseRequest(LEASE_MS / 4).number();
        replica.onLeaseReply("a", new PolicyMessage.LeaseReply(second, "ma", true, 1));
        replica.learn(register(2));
        for (long number : List.of(first, second)) {
            replica.onLeaseReply("a", new PolicyMessage.LeaseReply(number, "ma", true, 1));
            replica.onLeaseReply("b", new PolicyMessage.LeaseReply(number, "mb", true, 1));
        }
        assertEquals(replica.leaseExpiresAt(), Double.NEGATIVE_INFINITY);
    }
}
