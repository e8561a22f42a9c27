package mothcross.emulator;

import mothcross.Capabilities;
import mothcross.Director;
import mothcross.SiteParameters;
import mothcross.SlowStartLimits;
import mothcross.Topology;
import mothcross.Workload;

/** Makes the policy of one simulated director: the module itself or a baseline. */
@FunctionalInterface
public interface DirectorFactory {
    Director make(long seed, Workload[] workloads, Topology topology, Capabilities capabilities, SiteParameters site,
                  SlowStartLimits caches, SlowStartLimits parents, double purgeDurationMs);
}
