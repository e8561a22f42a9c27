package mothcross.policy;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A voter with several writes under way, which end in order, some of them in failure, and with restarts. */
public class VoterTest {
    private static final int STEPS = 400;
    private static final PolicyRegister REGISTER = new PolicyRegister(1, 3000, new VoterSet(1, Map.of("v", "m")),
        Map.of(), Plan.FIRST, null, java.util.List.of(), true);

    /** Guards against a failed write that takes back what a later write, still under way, promises. */
    @Test public void promisesNeverDecreaseWhateverWritesFail() {
        boolean severalWerePending = false;
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Voter.State onDisk = Voter.State.blank("m");
            Voter voter = new Voter("v", Set.of("v"), onDisk);
            Queue<Voter.State> pending = new ArrayDeque<>();
            ProposalNumber highestReplied = ProposalNumber.NONE;
            for (int i = 0; i < STEPS; i++) {
                int action = random.nextInt(20);
                if (action < 10) {
                    ProposalNumber number = new ProposalNumber(random.nextInt(STEPS), "d", 1);
                    Voter.Step step = random.nextBoolean() ? voter.on(new PolicyMessage.Prepare(number, Set.of()))
                        : voter.on(new PolicyMessage.Accept(number, REGISTER));
                    if (step.persist() != null) pending.add(step.persist());
                    severalWerePending |= pending.size() > 1;
                } else if (action < 19 && !pending.isEmpty()) {
                    Voter.State state = pending.remove();
                    if (random.nextInt(4) == 0) {
                        voter.syncFailed();
                        continue;
                    }
                    assertFalse(state.promised().compareTo(onDisk.promised()) < 0, "seed " + seed
                        + ": the disk goes back from " + onDisk.promised() + " to " + state.promised());
                    onDisk = state;
                    voter.synced(state);
                    assertFalse(state.promised().compareTo(highestReplied) < 0, "seed " + seed);
                    highestReplied = state.promised();
                } else if (action == 19) {
                    pending.clear();
                    voter = new Voter("v", Set.of("v"), onDisk);
                }
            }
        }
        assertTrue(severalWerePending);
    }
}
