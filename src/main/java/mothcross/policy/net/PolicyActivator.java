package mothcross.policy.net;

import java.util.List;
import mothcross.policy.Plan;

/** Compiles policy texts and puts plans in service at the director that decides lookups. */
public interface PolicyActivator {
    /**
     * Compiles a text; null where it is not valid, with its faults added to the list. It may take long, and is called
     * by one thread at a time.
     */
    Object compile(String digest, byte[] text, List<String> faults);

    /**
     * Decides lookups by this plan from the next one on. {@code main} and {@code trial} are the compiled texts of the
     * plan. The plan is in effect when this returns.
     */
    void activate(Plan plan, Object main, Object trial);
}
