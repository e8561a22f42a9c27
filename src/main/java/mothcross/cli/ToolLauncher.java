package mothcross.cli;

import java.io.File;
import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs a tool with the libraries that only tools use, which lie beside those of a director and are not on its class
 * path. Owns the loader for that; must never be needed by {@code serve}.
 */
final class ToolLauncher {
    private ToolLauncher() { }

    /** Calls {@code run(String[])} of the class, loaded with all libraries. */
    static int run(String className, String... args) throws Exception {
        try (URLClassLoader all = new URLClassLoader(urls(), ClassLoader.getPlatformClassLoader())) {
            Thread.currentThread().setContextClassLoader(all);
            return (int) all.loadClass(className).getDeclaredMethod("run", String[].class).invoke(null, (Object) args);
        }
    }

    private static URL[] urls() throws IOException, URISyntaxException {
        List<URL> all = new ArrayList<>();
        for (String p : System.getProperty("java.class.path").split(File.pathSeparator)) add(all, Path.of(p));
        Path here = Path.of(ToolLauncher.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        for (Path lib : List.of(here.resolveSibling("lib"), here.resolveSibling("lib").resolve("more"))) {
            if (!Files.isDirectory(lib)) continue;
            try (Stream<Path> jars = Files.list(lib)) {
                for (Path j : jars.filter(x -> x.toString().endsWith(".jar")).toList()) add(all, j);
            }
        }
        return all.toArray(URL[]::new);
    }

    private static void add(List<URL> all, Path p) throws MalformedURLException {
        all.add(p.toUri().toURL());
    }
}
