package mothcross.operators;

import java.util.List;
import java.util.function.Function;
import mothcross.route.RouteRules;

/**
 * The parts of the operators' file. A feature adds its part to {@link #ALL}, and nowhere else: its name in the
 * file and how its section is read. A part that is not in the file leaves its feature off.
 */
public record Part<T>(String name, Class<T> type, Function<Section, T> reads) {
    public static final Part<Remembering> MEMBERSHIP = new Part<>("membership", Remembering.class, Remembering::read);
    public static final Part<RouteRules> ROUTES = new Part<>("routes", RouteRules.class, Routes::read);

    public static final Part<Directors> FLEET = new Part<>("fleet", Directors.class, Directors::read);

    public static final Part<Changes> POLICY = new Part<>("policy", Changes.class, Changes::read);

    static final List<Part<?>> ALL = List.of(MEMBERSHIP, ROUTES, FLEET, POLICY);
    /** Those that a change of the fleet's policy may hold. */
    static final List<Part<?>> SHARED = List.of(ROUTES);
}
