package mothcross;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import mothcross.simhost.SimHost;
import org.testng.annotations.Test;

/**
 * The simulator's protocol at its edges: unknown and late messages are ignored, a malformed line ends the host with a
 * message that names the line and the field.
 */
public class AdapterTest {
    private static final String START = "SYNC Now=1\nTARGET_INSTANCE I=3\nCREATE RandomSeed=1 Balancers=1 Zone=z "
        + "Zones=m,z Kinds=k,p,o FamilyInfo.MidKind=1 FamilyInfo.MasterKind=2 FamilyInfo.OneFlowKbPerS=1000 "
        + "Caps.MaxAttempts=3 New.Key=7 Services.count=1 Services.0.Name=w Services.0.Effect=safe "
        + "Services.0.OnTime=0.4 Services.0.HardLimit=5\nTARGETS Gen=1 Kind=SAVED Entries=1\n"
        + "ITEM Node=1.1.1.1:1 Locality=z Health=in_service FamilyType=k\nYOUR_TURN\n";
    private String out;
    private String err;

    private int run(String in) throws Exception {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        SimHost host = new SimHost(new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)),
            new PrintStream(outBytes), new PrintStream(errBytes));
        int exitCode = host.run();
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return exitCode;
    }

    @Test public void unknownAndLateMessagesAreIgnored() throws Exception {
        assertEquals(run(START + "SYNC Now=2\nTARGET_INSTANCE I=3\nNEWS Of=old\nBELL Name=99\nDROPPED Corr=8\n"
            + "ATTEMPT_END Corr=8 RoundNo=0 Node=9.9.9.9:1 Disposition=0\n"
            + "SUBMIT Corr=7 Expires=4 Class=w Item=5 BytesK=100 Odd=1\nYOUR_TURN\n"
            + "SYNC Now=3\nTARGET_INSTANCE I=3\nATTEMPT_END Corr=7 RoundNo=0 Node=1.1.1.1:1 Disposition=0 Last=1\n"
            + "ATTEMPT_END Corr=7 RoundNo=0 Node=1.1.1.1:1 Disposition=3\nDROPPED Corr=7\nYOUR_TURN\n"), 0);
        assertTrue(out.contains("GET Corr=7 Node=1.1.1.1:1 ExpireAt=4.000000"), out);
        assertEquals(out.split("GET|REFUSE|FAIL|RECALL").length, 2, out);
        assertEquals(err, "");
    }

    @Test public void malformedLineEndsTheHostWithItsNumber() throws Exception {
        String[][] cases = {
            {"SUBMIT Corr=7 Class=w Item=5", "required field Expires is missing"},
            {"SUBMIT Corr=seven Expires=4 Class=w", "field Corr has unusable value 'seven'"},
            {"SUBMIT Corr=7 Expires=4 Class=x", "field Class has unusable value 'x'"},
            {"SUBMIT Corr", "part 'Corr' is not name=value"},
            {"TARGETS Gen=1 Kind=FULL Entries=2\nITEM Node=a Locality=z Health=in_service", "but 1 entries follow"},
        };
        for (String[] lineAndMessage : cases) {
            String line = lineAndMessage[0];
            assertTrue(run(START + "SYNC Now=2\nTARGET_INSTANCE I=3\n" + line + "\nYOUR_TURN\n") != 0, line);
            assertTrue(err.contains("line 9") && err.contains(lineAndMessage[1]), err);
            assertTrue(out.contains("GIVE_IN BodyText=line 9"), out);
        }
    }

    @Test public void endOfInputEndsTheHost() throws Exception {
        assertEquals(run(""), 0);
        assertEquals(run(START), 0);
    }
}
