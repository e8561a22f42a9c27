package mothcross.rig.explore;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code mothcross rig explore}, on the tools' loader: every state of the policy's protocol within bounds. */
@Command(name = "explore", description = "Goes through every state of the policy's protocol within bounds; exit state "
    + "1 where a promise is broken, with the shortest way there.", mixinStandardHelpOptions = true)
public final class Explore implements Callable<Integer> {
    @Option(names = "--what", defaultValue = "REGISTER", description = "REGISTER or CHANGE") private String what;

    @Option(names = "--scene", description = "of the register: TWO_STEPS, VOTERS, FOUNDING, LEASE; of changes: HOLD, "
        + "STOP, TRIAL") private String scene;

    @Option(names = "--fault", defaultValue = "NONE", description = "planted, by its name in RegisterModel.Fault or "
        + "ChangeModel.Fault") private String fault;

    @Option(names = "--attempts", split = ",", defaultValue = "2,1",
        description = "of each writer") private int[] attempts;

    @Option(names = "--crashes", defaultValue = "1", description = "of writers, of directors") private int crashes;

    @Option(names = "--disks", defaultValue = "0", description = "that may be lost, 0 or 1") private int disks;

    @Option(names = "--changes", defaultValue = "2") private int changes;

    @Option(names = "--drivers", defaultValue = "2",
        description = "directors that drive, of three") private int drivers;

    @Option(names = "--begun", description = "the first change is proposed already, and known to all")
    private boolean begun;

    @Option(names = "--every-step",
        description = "also those for which another order stands, as the design note argues")
    private boolean every;

    @Option(names = "--most", defaultValue = "20000000", description = "states (default: ${DEFAULT-VALUE})")
    private long most;

    private Explore() { }

    public static int run(String[] args) {
        return new CommandLine(new Explore()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
    }

    @Override public Integer call() {
        boolean register = what.equalsIgnoreCase("REGISTER");
        String at = scene == null ? register ? "TWO_STEPS" : "HOLD" : scene.toUpperCase(java.util.Locale.ROOT);
        Explorer.Result r;
        try {
            r = register ? new Explorer<>(new RegisterModel(RegisterModel.Scene.valueOf(at),
                RegisterModel.Fault.valueOf(fault), attempts, crashes, disks)).all(most)
                : new Explorer<>(new ChangeModel(ChangeModel.Scene.valueOf(at), ChangeModel.Fault.valueOf(fault),
                    changes,
                    crashes, drivers, begun, every)).all(most);
        } catch (IllegalArgumentException e) {
            System.err.println("mothcross: " + e.getMessage());
            return 2;
        }
        System.out.println(what + " " + at + ", fault " + fault + ": " + r);
        return r.broken() == null ? 0 : 1;
    }
}
