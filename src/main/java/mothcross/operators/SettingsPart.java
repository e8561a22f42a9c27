package mothcross.operators;

import java.util.List;
import java.util.function.Function;
import mothcross.route.RouteRules;

/**
 * One settings part of the operators' file: its name in the file, the type of its settings and how its section is
 * read. A feature registers its part in {@link #ALL} only. A part that is not in the file leaves its feature off.
 */
public record SettingsPart<T>(String name, Class<T> type, Function<Section, T> reader) {
    public static final SettingsPart<MembershipSettings> MEMBERSHIP =
        new SettingsPart<>("membership", MembershipSettings.class, MembershipSettings::read);
    public static final SettingsPart<RouteRules> ROUTES =
        new SettingsPart<>("routes", RouteRules.class, RouteSettings::read);
    public static final SettingsPart<FleetSettings> FLEET =
        new SettingsPart<>("fleet", FleetSettings.class, FleetSettings::read);
    public static final SettingsPart<PolicySettings> POLICY =
        new SettingsPart<>("policy", PolicySettings.class, PolicySettings::read);

    /** In the order in which they are read and shown. */
    static final List<SettingsPart<?>> ALL = List.of(MEMBERSHIP, ROUTES, FLEET, POLICY);
    /** The parts that a change of the fleet's policy may hold. */
    static final List<SettingsPart<?>> SHARED = List.of(ROUTES);
}
