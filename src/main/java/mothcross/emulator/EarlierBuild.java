package mothcross.emulator;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.lang.reflect.RecordComponent;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import mothcross.DecisionWriter;
import mothcross.Director;
import mothcross.EventBatch;
import mothcross.RouteConstraints;

/**
 * Runs the module of an earlier build as a policy, in a class loader of its own so that both builds are loaded at
 * once. It maps values and calls between the two sets of types by name; arguments that the earlier build lacks (route
 * constraints) are dropped.
 */
public final class EarlierBuild {
    private final ClassLoader loader;
    private final Class<?> eventBatchType;
    private final Class<?> decisionWriterType;
    private final Constructor<?> constructor;
    private final Map<String, Method> directorMethods = new HashMap<>();

    /** {@code build}: a jar or a directory of classes. Throws where it holds no module that can be called. */
    public EarlierBuild(Path build) throws IOException {
        loader = new URLClassLoader(new URL[] {build.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        try {
            Class<?> director = type("Director");
            eventBatchType = type("EventBatch");
            decisionWriterType = type("DecisionWriter");
            constructor = type("CacheDirector").getConstructors()[0];
            for (Method method : director.getMethods()) directorMethods.put(method.getName()
                + method.getParameterCount(), method);
        } catch (ClassNotFoundException | ArrayIndexOutOfBoundsException e) {
            throw new IOException(build + " holds no module: " + e.getMessage(), e);
        }
        if (constructor.getParameterCount() != 8) throw new IOException(build
            + " holds a module whose constructor has other parameters");
    }

    /** A type of the module by its current simple name, or by its earlier name where the build lacks that. */
    private Class<?> type(String currentName) throws ClassNotFoundException {
        try {
            return loader.loadClass("mothcross." + currentName);
        } catch (ClassNotFoundException e) {
            return loader.loadClass("mothcross." + EarlierNames.type(currentName));
        }
    }

    /** The earlier module as a policy for simulations. */
    public DirectorFactory policy() {
        return (seed, workloads, topology, capabilities, site, caches, parents, purge) -> {
            Object[] args = {seed, workloads, topology, capabilities, site, caches, parents, purge};
            for (int i = 0; i < args.length; i++) args[i] = convert(args[i], constructor.getParameterTypes()[i]);
            try {
                return new EarlierDirector(constructor.newInstance(args));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("cannot create the director of the earlier build", e);
            }
        };
    }

    /** Converts a value to the earlier type: records by component name, enum constants by name, arrays by element. */
    private Object convert(Object value, Class<?> targetType) {
        if (value == null || targetType.isInstance(value) || targetType.isPrimitive()) return value;
        try {
            if (targetType.isArray()) {
                Object[] elements = (Object[]) value;
                Object array = java.lang.reflect.Array.newInstance(targetType.getComponentType(), elements.length);
                for (int i = 0; i < elements.length; i++) java.lang.reflect.Array.set(array, i, convert(elements[i],
                    targetType.getComponentType()));
                return array;
            }
            if (targetType.isEnum()) {
                Enum<?> constant = (Enum<?>) value;
                for (Object candidate : targetType.getEnumConstants()) {
                    if (isNamed(((Enum<?>) candidate).name(), constant.getDeclaringClass(), constant.name())) {
                        return candidate;
                    }
                }
            }
            RecordComponent[] components = targetType.getRecordComponents();
            Class<?>[] types = new Class<?>[components.length];
            Object[] values = new Object[components.length];
            for (int i = 0; i < components.length; i++) {
                types[i] = components[i].getType();
                values[i] = convert(component(value, components[i].getName()), types[i]);
            }
            return targetType.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IllegalStateException("cannot convert a value to " + targetType.getSimpleName()
                + " of the earlier build", e);
        }
    }

    /** Whether a name in the earlier build denotes a current member, by its current or its earlier name. */
    private static boolean isNamed(String earlierName, Class<?> type, String currentName) {
        return earlierName.equals(currentName) || earlierName.equals(EarlierNames.member(type, currentName));
    }

    /** The value of the component of a current record that the earlier build calls {@code earlierName}. */
    private static Object component(Object value, String earlierName) throws ReflectiveOperationException {
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            if (isNamed(earlierName, value.getClass(), component.getName())) {
                return component.getAccessor().invoke(value);
            }
        }
        throw new NoSuchMethodException(earlierName);
    }

    private static Object invoke(Method method, Object target, Object... args) {
        try {
            return method.invoke(target, args);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException r) throw r;
            throw new IllegalStateException(e.getCause());
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Forwards calls to the earlier director by name, and its decisions back by name. */
    private final class EarlierDirector implements Director {
        private final Object earlierDirector;

        EarlierDirector(Object earlierDirector) {
            this.earlierDirector = earlierDirector;
        }

        private void forward(String name, Object... args) {
            Method method = directorMethods.get(name + args.length);
            if (method == null) method = directorMethods.get(EarlierNames.member(Director.class, name) + args.length);
            invoke(method, earlierDirector, args);
        }

        @Override public void process(double now, EventBatch batch, DecisionWriter out) {
            Object earlierBatch = Proxy.newProxyInstance(loader, new Class<?>[] {eventBatchType}, (p, m, a) -> {
                batch.deliverTo(this);
                return null;
            });
            forward("process", now, earlierBatch, writerProxy(out));
        }

        private DecisionWriter lastWriter;
        private Object lastWriterProxy;
        private final Map<String, Method> writerMethods = new HashMap<>();

        private Object writerProxy(DecisionWriter writer) {
            if (lastWriter == writer) return lastWriterProxy;
            for (Method m : DecisionWriter.class.getMethods()) {
                writerMethods.put(m.getName() + m.getParameterCount(), m);
                writerMethods.put(EarlierNames.member(DecisionWriter.class, m.getName()) + m.getParameterCount(), m);
            }
            lastWriter = writer;
            lastWriterProxy = Proxy.newProxyInstance(loader, new Class<?>[] {decisionWriterType}, (p, m, a) ->
                invoke(writerMethods.get(m.getName() + m.getParameterCount()), writer, a));
            return lastWriterProxy;
        }

        @Override public void lookup(int lookup, int workload, double expires, long object, int part, int group,
            double kb, boolean repeat,
                                     boolean write, RouteConstraints by) {
            forward("lookup", lookup, workload, expires, object, part, group, kb, repeat, write);
        }

        @Override public void hopEnded(int lookup, int hop, int node, int outcome, boolean isLast, int note,
            double spent,
                                       double sourceWait, double[] report) {
            forward("hopEnded", lookup, hop, node, outcome, isLast, note, spent, sourceWait, report);
        }

        @Override public void streamStarted(int lookup, int hop) {
            forward("streamStarted", lookup, hop);
        }

        @Override public void clientDisconnected(int lookup) {
            forward("clientDisconnected", lookup);
        }

        @Override public void timerFired(long name) {
            forward("timerFired", name);
        }

        @Override public void purged(long object, int group, double ago) {
            forward("purged", object, group, ago);
        }

        @Override public void probeCompleted(int node, int outcome, double spent, double[] report) {
            forward("probeCompleted", node, outcome, spent, report);
        }

        @Override public void listStarted(int kind) {
            forward("listStarted", kind);
        }

        @Override public void nodeListed(int node, String address, int zone, int kind, int cell, int status,
            double units, double startedAt) {
            forward("nodeListed", node, address, zone, kind, cell, status, units, startedAt);
        }

        @Override public void listFinished() {
            forward("listFinished");
        }
    }
}
