package mothcross;

/**
 * What the site tells: node sizes as links, notes on outcomes, news only on request, one flow's pace, and
 * the own place's link in, in such flows (0 where untold).
 */
public record SiteParameters(boolean unitsAreLinkCapacity, boolean failureReasonsReported, boolean listOnRequest,
                        double flowKbPerMs, double zoneLinkFlows) { }
