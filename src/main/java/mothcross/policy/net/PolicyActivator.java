package mothcross.policy.net;

import java.util.List;
import mothcross.policy.Plan;

/** The director that decides lookups, as far as changes of the policy reach it. */
public interface PolicyActivator {
    /** A text made ready for use, or null with its faults; may take long, and is called by one thread at a time. */
    Object compile(String digest, byte[] text, List<String> faults);

    /** From the next lookup on: the plan, and what its texts were made into. Returns when that is so. */
    void activate(Plan plan, Object main, Object trial);
}
