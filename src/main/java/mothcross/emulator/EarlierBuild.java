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
 * An earlier build's module as a policy: its classes in a loader of its own, so that both builds are there at once.
 * Owns the way
 * between the two sets of types, by name; what the earlier one does not know (a narrowing) is left out. Must never mix
 * classes of the two.
 */
public final class EarlierBuild {
    private final ClassLoader loader;
    private final Class<?> reader, writer;
    private final Constructor<?> make;
    private final Map<String, Method> calls = new HashMap<>();

    /** {@code build}: a jar, or a folder of classes. Throws where it holds no module that can be called. */
    public EarlierBuild(Path build) throws IOException {
        loader = new URLClassLoader(new URL[] {build.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        try {
            Class<?> director = type("Director");
            reader = type("EventBatch");
            writer = type("DecisionWriter");
            make = type("CacheDirector").getConstructors()[0];
            for (Method m : director.getMethods()) calls.put(m.getName() + m.getParameterCount(), m);
        } catch (ClassNotFoundException | ArrayIndexOutOfBoundsException e) {
            throw new IOException(build + " holds no module: " + e.getMessage(), e);
        }
        if (make.getParameterCount() != 8) throw new IOException(build + " holds a module that is made otherwise");
    }

    /** A type of the module by today's simple name, or by the one it had earlier where the build lacks that. */
    private Class<?> type(String today) throws ClassNotFoundException {
        try {
            return loader.loadClass("mothcross." + today);
        } catch (ClassNotFoundException e) {
            return loader.loadClass("mothcross." + EarlierNames.type(today));
        }
    }

    public DirectorFactory policy() {
        return (seed, workloads, places, may, told, caches, parents, purge) -> {
            Object[] args = {seed, workloads, places, may, told, caches, parents, purge};
            for (int i = 0; i < args.length; i++) args[i] = over(args[i], make.getParameterTypes()[i]);
            try {
                return new Earlier(make.newInstance(args));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("the earlier module can't be made", e);
            }
        };
    }

    /** A value of ours as one of theirs: records by the names of their parts, constants by name, arrays one by one. */
    private Object over(Object ours, Class<?> theirs) {
        if (ours == null || theirs.isInstance(ours) || theirs.isPrimitive()) return ours;
        try {
            if (theirs.isArray()) {
                Object[] from = (Object[]) ours;
                Object all = java.lang.reflect.Array.newInstance(theirs.getComponentType(), from.length);
                for (int i = 0; i < from.length; i++) java.lang.reflect.Array.set(all, i, over(from[i],
                    theirs.getComponentType()));
                return all;
            }
            if (theirs.isEnum()) {
                Enum<?> constant = (Enum<?>) ours;
                for (Object c : theirs.getEnumConstants()) {
                    if (isNamed(((Enum<?>) c).name(), constant.getDeclaringClass(), constant.name())) return c;
                }
            }
            RecordComponent[] parts = theirs.getRecordComponents();
            Class<?>[] types = new Class<?>[parts.length];
            Object[] values = new Object[parts.length];
            for (int i = 0; i < parts.length; i++) {
                types[i] = parts[i].getType();
                values[i] = over(component(ours, parts[i].getName()), types[i]);
            }
            return theirs.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException | RuntimeException e) {
            throw new IllegalStateException("the earlier build has no " + theirs.getSimpleName() + " like ours", e);
        }
    }

    /** Whether a name in the earlier build is that of today's member, as it is or as it was. */
    private static boolean isNamed(String theirs, Class<?> type, String today) {
        return theirs.equals(today) || theirs.equals(EarlierNames.member(type, today));
    }

    /** The value of the component of one of our records that the earlier build calls {@code theirs}. */
    private static Object component(Object ours, String theirs) throws ReflectiveOperationException {
        for (RecordComponent c : ours.getClass().getRecordComponents()) {
            if (isNamed(theirs, ours.getClass(), c.getName())) return c.getAccessor().invoke(ours);
        }
        throw new NoSuchMethodException(theirs);
    }

    private static Object call(Method m, Object on, Object... args) {
        try {
            return m.invoke(on, args);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException r) throw r;
            throw new IllegalStateException(e.getCause());
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Calls go on by name; what it writes comes back by name. */
    private final class Earlier implements Director {
        private final Object module;

        Earlier(Object module) {
            this.module = module;
        }

        private void on(String name, Object... args) {
            Method m = calls.get(name + args.length);
            if (m == null) m = calls.get(EarlierNames.member(Director.class, name) + args.length);
            call(m, module, args);
        }

        @Override public void process(double now, EventBatch in, DecisionWriter out) {
            Object theirs = Proxy.newProxyInstance(loader, new Class<?>[] {reader}, (p, m, a) -> {
                in.deliverTo(this);
                return null;
            });
            on("process", now, theirs, written(out));
        }

        private DecisionWriter last;
        private Object lastWritten;
        private final Map<String, Method> ours = new HashMap<>();

        private Object written(DecisionWriter out) {
            if (last == out) return lastWritten;
            for (Method m : DecisionWriter.class.getMethods()) {
                ours.put(m.getName() + m.getParameterCount(), m);
                ours.put(EarlierNames.member(DecisionWriter.class, m.getName()) + m.getParameterCount(), m);
            }
            last = out;
            lastWritten = Proxy.newProxyInstance(loader, new Class<?>[] {writer}, (p, m, a) ->
                call(ours.get(m.getName() + m.getParameterCount()), out, a));
            return lastWritten;
        }

        @Override public void lookup(int l, int w, double expires, long object, int part, int group, double kb,
            boolean repeat,
                                     boolean write, RouteConstraints by) {
            on("lookup", l, w, expires, object, part, group, kb, repeat, write);
        }

        @Override public void hopEnded(int l, int hop, int node, int outcome, boolean isLast, int note, double spent,
                                       double sourceWait, double[] report) {
            on("hopEnded", l, hop, node, outcome, isLast, note, spent, sourceWait, report);
        }

        @Override public void streamStarted(int l, int hop) {
            on("streamStarted", l, hop);
        }

        @Override public void clientDisconnected(int l) {
            on("clientDisconnected", l);
        }

        @Override public void timerFired(long name) {
            on("timerFired", name);
        }

        @Override public void purged(long object, int group, double ago) {
            on("purged", object, group, ago);
        }

        @Override public void probeCompleted(int node, int outcome, double spent, double[] report) {
            on("probeCompleted", node, outcome, spent, report);
        }

        @Override public void listStarted(int news) {
            on("listStarted", news);
        }

        @Override public void nodeListed(int node, String address, int place, int kind, int cell, int standing,
            double units,
                                     double startedAt) {
            on("nodeListed", node, address, place, kind, cell, standing, units, startedAt);
        }

        @Override public void listFinished() {
            on("listFinished");
        }
    }
}
