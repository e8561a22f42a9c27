package mothcross.emulator;

import static java.util.Map.entry;

import java.util.Map;

/**
 * The names that types and members of the module had in builds before they were renamed. A member (a method, a record
 * component or an enum constant) is keyed by the current simple name of its type and its own current name.
 */
final class EarlierNames {
    private static final Map<String, String> TYPES = Map.of("CacheDirector", "Decide", "EventBatch", "RoundReader");

    private static final Map<String, String> MEMBERS = Map.ofEntries(
        entry("Director#process", "round"),
        entry("Director#timerFired", "bell"),
        entry("Director#streamStarted", "streamBegan"),
        entry("Director#clientDisconnected", "clientLeft"),
        entry("Director#probeCompleted", "probed"),
        entry("Director#listStarted", "listBegins"),
        entry("Director#nodeListed", "listed"),
        entry("Director#listFinished", "listEnds"),
        entry("DecisionWriter#sendCacheOnly", "look"),
        entry("DecisionWriter#sendFetch", "fetch"),
        entry("DecisionWriter#cancelHop", "callOff"),
        entry("DecisionWriter#reject", "bounce"),
        entry("DecisionWriter#fail", "giveUp"),
        entry("DecisionWriter#setTimer", "remind"),
        entry("DecisionWriter#watchNodeList", "followList"),
        entry("DecisionWriter#log", "say"),
        entry("Capabilities#hedging", "secondCopies"),
        entry("Capabilities#cancellation", "callOff"),
        entry("Capabilities#bypassCache", "straightToSource"),
        entry("Capabilities#fillCoalescing", "joinFills"),
        entry("Capabilities#maxRetryAfterMs", "longestWaitMs"),
        entry("SlowStartLimits#initialShare", "floor"),
        entry("SlowStartLimits#warmUpMs", "warmMs"),
        entry("SlowStartLimits#overloadFactor", "breaksAt"),
        entry("SlowStartLimits#overloadWindowMs", "spanMs"),
        entry("SiteParameters#unitsAreLinkCapacity", "unitsAreLinks"),
        entry("SiteParameters#failureReasonsReported", "failuresExplained"),
        entry("SiteParameters#zoneLinkFlows", "linkFlows"),
        entry("RouteConstraints#hasPlacementKey", "placed"),
        entry("RouteConstraints#placementKey", "placedBy"),
        entry("RouteConstraints#maxHops", "mostHops"),
        entry("RouteConstraints#importanceShare", "weight"),
        entry("Topology#ownZone", "own"),
        entry("Topology#directorsPerZone", "directorsAt"),
        entry("Workload#deduplicationScope", "repeatsDroppedBy"),
        entry("Workload#deduplicationWindowMs", "rememberedMs"),
        entry("Workload#targetSizeFactor", "targetStretch"),
        entry("Workload#timeoutMs", "abandonMs"),
        entry("Workload#lateValueShare", "lateShare"),
        entry("Workload#staleValueShare", "staleShare"),
        entry("Workload#uncacheable", "neverKept"),
        entry("Effect#IDEMPOTENT", "REPEATABLE"),
        entry("Effect#DEDUPLICATED", "TAGGED"),
        entry("Effect#NON_IDEMPOTENT", "ONCE_ONLY"),
        entry("DeduplicationScope#ZONE", "PLACE"));

    private EarlierNames() { }

    /** The earlier simple name of a type; the current one where it was not renamed. */
    static String type(String currentName) {
        return TYPES.getOrDefault(currentName, currentName);
    }

    /** The earlier name of a member of a type; the current one where it was not renamed. */
    static String member(Class<?> type, String currentName) {
        return MEMBERS.getOrDefault(type.getSimpleName() + "#" + currentName, currentName);
    }
}
