package mothcross.emulator;

import mothcross.Capabilities;
import mothcross.Director;
import mothcross.SiteParameters;
import mothcross.SlowStartLimits;
import mothcross.Topology;
import mothcross.Workload;

/** Makes the director of one host: the module itself, or what it is compared with. */
@FunctionalInterface
public interface DirectorFactory {
    Director make(long seed, Workload[] workloads, Topology topology, Capabilities capabilities, SiteParameters site,
                  SlowStartLimits caches, SlowStartLimits parents, double purgeDurationMs);
}
