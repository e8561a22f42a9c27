package mothcross.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Real processes of the program with links of ours between them; no verdict rests on how fast the machine is. */
public class RealFleetTest {
    private static String command(int state, String... args) throws Exception {
        List<String> all = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp", System.getProperty("java.class.path"), "mothcross.cli.Main", "fleet"));
        all.addAll(List.of(args));
        Process p = new ProcessBuilder(all).redirectErrorStream(true).start();
        String said = new String(p.getInputStream().readAllBytes());
        assertEquals(p.waitFor(), state, said);
        return said;
    }

    /** What an operator asks of a running director, with its exit states. */
    @Test(timeOut = 300_000) public void operatorsAsk() throws Exception {
        try (ProcessFleet r = new ProcessFleet(FaultScript.of("members 3 for 1000\n500 kill 2"), 1, null)) {
            r.play();
            String file = r.operatorsOf(0).toString();
            String said = command(0, "status", "--operators", file);
            assertTrue(said.contains("n0 is IN; view ") && said.contains("members 2, not fine 0"), said);
            assertTrue(command(0, "explain", "n1", "--operators", file).contains("n1 is IN in life "));
            assertTrue(command(1, "explain", "n2", "--operators", file).contains("n2 is OUT in life "));
            assertTrue(command(2, "explain", "n9", "--operators", file).contains("n9 is not known there"));
            assertTrue(command(0, "watch", "--for", "0.1", "--operators", file).contains("n0 is IN"));
            Path other = Files.writeString(Files.createTempFile("mothcross", ".json"),
                Files.readString(r.operatorsOf(0)).replace("of this play", "of another"));
            assertTrue(command(2, "status", "--operators", other.toString()).contains("no answer from"));
            Files.delete(other);
        }
    }

    /**
     * What ends unasked is named with its last words: it is no member that is merely late (a CI run took it for one).
     */
    @Test(timeOut = 300_000) public void aProcessThatEndsByItselfIsNamed() throws Exception {
        try (ProcessFleet r = new ProcessFleet(FaultScript.of("members 3 for 100\n0 loss all by 0"), 1, null)) {
            r.play();
            assertEquals(r.check().broken, List.of());
            r.processOf(2).destroyForcibly();
            synchronized (r.history) {
                while (r.check().broken.isEmpty()) r.history.wait(1000);        // its bell; the test's end is the bound
            }
            String said = r.check().broken.toString();
            assertTrue(said.contains("n2 ended by itself with state 137"), said);
        }
    }

    /**
     * A port that is chosen stays free until it is used: below those the system gives out, its block held meanwhile.
     */
    @Test public void portsAreGivenOnceAndHeld() throws Exception {
        Set<Integer> all = new HashSet<>();
        for (int i = 0; i < 120; i++) {
            int port = PortReservation.take(), first = port - port % 50;
            assertTrue(all.add(port) && port < 32_768 && port > first, port + " of " + all);
            assertThrows(IOException.class, () -> new ServerSocket(first, 1, InetAddress.getLoopbackAddress()));
        }
    }

    @DataProvider(parallel = true) public Object[][] scripts() {
        return new Object[][] {
            {"members 5 for 10000\n500 pause 1 for 4000\n500 loss all by 0.3 for 4000\n6000 kill 3"},
            {"members 5 for 9000\n500 cut 1 to all for 4000\n500 cut all to 2 for 4000\n1000 flap 3 by 1000 for 4000"},
            {"members 5 for 9000\n500 restart 0-3 for 1500\n5000 forget 4 for 500\n6500 move 0 for 500"},
            {"members 5 for 12000\n500 cut 0-1 to 2-4 for 5000\n500 cut 2-4 to 0-1 for 5000\n8000 leave 1\n"
                + "9000 twin 2"}};
    }

    @Test(dataProvider = "scripts", timeOut = 300_000) public void holdsAmongProcesses(String script) throws Exception {
        try (ProcessFleet r = new ProcessFleet(FaultScript.of(script), 1, null)) {
            r.play();
            FleetRules rules = r.check();
            assertTrue(rules.broken.isEmpty(), script + "\n" + String.join("\n", rules.broken));
        }
    }
}
