package mothcross.policy.net;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import mothcross.policy.Change;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyRegister;
import mothcross.policy.ProposalNumber;
import mothcross.policy.Voter;
import mothcross.policy.VoterSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Pins the JSON of each kind of message and of the voter's file, which directors of other builds read and write. */
public class PolicyMessageCodecTest {
    private static final ProposalNumber NUMBER = new ProposalNumber(3, "d1", 1_700_000_000_001L);
    private static final String NUMBER_JSON = "{\"round\":3,\"by\":\"d1\",\"life\":1700000000001}";
    private static final Plan.Canary CANARY = new Plan.Canary(List.of("d1"), 0.25);
    private static final Plan PLAN = new Plan(5, "aa", "bb", CANARY, true);
    private static final PolicyRegister REGISTER = new PolicyRegister(8, 3000, new VoterSet(2, Map.of("d1", "m1")),
        Map.of("d1", new PolicyRegister.Registration(1, "h1", 801, false)), PLAN,
        new Change("c1", "bb", 120, "d1", "a note", Change.Mode.HOLD, 9000.5, CANARY, Change.Stage.BINDING, 7, PLAN),
        List.of(new PolicyRegister.CompletedChange("c0", "aa", "d2", PolicyRegister.Outcome.COMMITTED, "done", 4, 6)),
        true);
    private static final String REGISTER_JSON = "{\"revision\":8,\"leaseMs\":3000.0,"
        + "\"voters\":{\"number\":2,\"marks\":{\"d1\":\"m1\"}},"
        + "\"roll\":{\"d1\":{\"life\":1,\"host\":\"h1\",\"port\":801,\"excluded\":false}},"
        + "\"plan\":{\"number\":5,\"main\":\"aa\",\"trial\":\"bb\",\"canary\":{\"names\":[\"d1\"],\"share\":0.25},"
        + "\"leases\":true},"
        + "\"change\":{\"id\":\"c1\",\"digest\":\"bb\",\"size\":120,\"by\":\"d1\",\"note\":\"a note\","
        + "\"mode\":\"HOLD\",\"deadlineMs\":9000.5,\"canary\":{\"names\":[\"d1\"],\"share\":0.25},"
        + "\"stage\":\"BINDING\",\"since\":7,"
        + "\"target\":{\"number\":5,\"main\":\"aa\",\"trial\":\"bb\",\"canary\":{\"names\":[\"d1\"],\"share\":0.25},"
        + "\"leases\":true}},"
        + "\"lately\":[{\"id\":\"c0\",\"digest\":\"aa\",\"by\":\"d2\",\"outcome\":\"COMMITTED\",\"why\":\"done\","
        + "\"plan\":4,\"revision\":6}],\"whole\":true}";
    private static final PolicyMessage.ProgressReport REPORT =
        new PolicyMessage.ProgressReport(1, 7, 5, PolicyMessage.Progress.READY, "why not");
    private static final String REPORT_JSON =
        "{\"life\":1,\"since\":7,\"plan\":5,\"far\":\"READY\",\"why\":\"why not\"}";

    @DataProvider public Object[][] messages() {
        return new Object[][] {
            {new PolicyMessage.Prepare(NUMBER, Set.of("d1")),
                "{\"Prepare\":{\"turn\":" + NUMBER_JSON + ",\"founders\":[\"d1\"]}}"},
            {new PolicyMessage.Promised(NUMBER, "m1", ProposalNumber.NONE, REGISTER),
                "{\"Promised\":{\"turn\":" + NUMBER_JSON + ",\"mark\":\"m1\","
                    + "\"at\":{\"round\":0,\"by\":\"\",\"life\":0},\"accepted\":" + REGISTER_JSON + "}}"},
            {new PolicyMessage.Accept(NUMBER, REGISTER),
                "{\"Accept\":{\"turn\":" + NUMBER_JSON + ",\"book\":" + REGISTER_JSON + "}}"},
            {new PolicyMessage.Accepted(NUMBER, "m1"),
                "{\"Accepted\":{\"turn\":" + NUMBER_JSON + ",\"mark\":\"m1\"}}"},
            {new PolicyMessage.Rejected(NUMBER, NUMBER),
                "{\"Late\":{\"turn\":" + NUMBER_JSON + ",\"promised\":" + NUMBER_JSON + "}}"},
            {new PolicyMessage.Decided(REGISTER), "{\"Decided\":{\"book\":" + REGISTER_JSON + "}}"},
            {new PolicyMessage.Learn(8, true), "{\"Learn\":{\"revision\":8,\"whole\":true}}"},
            {new PolicyMessage.VotersRedirect(2, Set.of("d1")), "{\"AskThem\":{\"voters\":2,\"names\":[\"d1\"]}}"},
            {new PolicyMessage.JoinRequest(1, "h1", 801), "{\"Enrol\":{\"life\":1,\"host\":\"h1\",\"port\":801}}"},
            {new PolicyMessage.LeaveRequest(1), "{\"Leave\":{\"life\":1}}"},
            {new PolicyMessage.LeaseRequest(1, 5, 2, 9),
                "{\"MayI\":{\"life\":1,\"plan\":5,\"voters\":2,\"number\":9}}"},
            {new PolicyMessage.LeaseReply(9, "m1", true, 8),
                "{\"YouMay\":{\"number\":9,\"mark\":\"m1\",\"yes\":true,\"revision\":8}}"},
            {new PolicyMessage.ProgressRequest(8, 7, 5), "{\"HowFar\":{\"revision\":8,\"since\":7,\"plan\":5}}"},
            {REPORT, "{\"Standing\":" + REPORT_JSON + "}"},
            {new PolicyMessage.TextRequest("bb", 64), "{\"Fetch\":{\"digest\":\"bb\",\"from\":64}}"},
            {new PolicyMessage.TextChunk("bb", 64, 120, new byte[] {1, 2, -3}),
                "{\"Chunk\":{\"digest\":\"bb\",\"from\":64,\"size\":120,\"bytes\":\"AQL9\"}}"},
            {new PolicyMessage.TextNotFound("bb"), "{\"NotHere\":{\"digest\":\"bb\"}}"},
            {new PolicyMessage.ProgressReports(7, Map.of("d1", REPORT)),
                "{\"Words\":{\"since\":7,\"of\":{\"d1\":" + REPORT_JSON + "}}}"}};
    }

    @Test(dataProvider = "messages") public void messageHasFixedJsonAndIsReadBack(PolicyMessage message, String json) {
        assertEquals(new String(PolicyMessageCodec.encode(message), StandardCharsets.UTF_8), json);
        PolicyMessage read = PolicyMessageCodec.decode(json.getBytes(StandardCharsets.UTF_8));
        assertEquals(read, message);
        assertEquals(PolicyMessageCodec.encode(read), PolicyMessageCodec.encode(message));
    }

    @Test public void everyMessageKindIsCovered() {
        Set<Class<?>> covered = Arrays.stream(messages()).map(m -> m[0].getClass()).collect(Collectors.toSet());
        assertEquals(covered, Set.of(PolicyMessage.class.getPermittedSubclasses()));
    }

    @Test public void voterStateHasFixedJsonAndIsReadBack() {
        Voter.State state = new Voter.State("m1", NUMBER, ProposalNumber.NONE, REGISTER);
        String json = "{\"mark\":\"m1\",\"promised\":" + NUMBER_JSON
            + ",\"acceptedAt\":{\"round\":0,\"by\":\"\",\"life\":0},\"accepted\":" + REGISTER_JSON + "}";
        assertEquals(PolicyMessageCodec.GSON.toJson(state), json);
        assertEquals(PolicyMessageCodec.GSON.fromJson(json, Voter.State.class), state);
    }
}
