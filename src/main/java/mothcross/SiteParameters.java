package mothcross;

/**
 * What a site reports to its directors, and the capacities that it has configured.
 *
 * @param unitsAreLinkCapacity a node's units are the capacity of its link, in flows
 * @param failureReasonsReported failed hops carry a note with the reason
 * @param listOnRequest list updates come only when asked for
 * @param flowKbPerMs pace of one flow, 0 where unknown
 * @param zoneLinkFlows capacity of the link into the director's zone, in flows, 0 where unknown
 */
public record SiteParameters(boolean unitsAreLinkCapacity, boolean failureReasonsReported, boolean listOnRequest,
                        double flowKbPerMs, double zoneLinkFlows) { }
