package mothcross.operators;

import java.util.List;
import java.util.function.Function;
import mothcross.route.RouteRules;

/**
 * The parts of the operators' file. A feature adds its part to {@link #ALL}, and nowhere else: its name in the
 * file and how its section is read. A part that is not in the file leaves its feature off.
 */
public record SettingsPart<T>(String name, Class<T> type, Function<Section, T> reads) {
    public static final SettingsPart<MembershipSettings> MEMBERSHIP =
        new SettingsPart<>("membership", MembershipSettings.class, MembershipSettings::read);
    public static final SettingsPart<RouteRules> ROUTES =
        new SettingsPart<>("routes", RouteRules.class, RouteSettings::read);

    public static final SettingsPart<FleetSettings> FLEET =
        new SettingsPart<>("fleet", FleetSettings.class, FleetSettings::read);

    public static final SettingsPart<PolicySettings> POLICY =
        new SettingsPart<>("policy", PolicySettings.class, PolicySettings::read);

    static final List<SettingsPart<?>> ALL = List.of(MEMBERSHIP, ROUTES, FLEET, POLICY);
    /** Those that a change of the fleet's policy may hold. */
    static final List<SettingsPart<?>> SHARED = List.of(ROUTES);
}
