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
 * Runs a tool with libraries that only tools use. They lie beside the libraries of a director and are not on its class
 * path; {@code serve} must not need this class.
 */
final class ToolLauncher {
    private ToolLauncher() { }

    /** Loads the class with all libraries, calls its {@code run(String[])} and returns the exit status. */
    static int run(String className, String... args) throws Exception {
        try (URLClassLoader loader = new URLClassLoader(classPath(), ClassLoader.getPlatformClassLoader())) {
            Thread.currentThread().setContextClassLoader(loader);
            Class<?> tool = loader.loadClass(className);
            return (int) tool.getDeclaredMethod("run", String[].class).invoke(null, (Object) args);
        }
    }

    private static URL[] classPath() throws IOException, URISyntaxException {
        List<URL> urls = new ArrayList<>();
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            urls.add(url(Path.of(entry)));
        }
        Path here = Path.of(ToolLauncher.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        Path libraries = here.resolveSibling("lib");
        for (Path directory : List.of(libraries, libraries.resolve("more"))) {
            if (!Files.isDirectory(directory)) continue;
            try (Stream<Path> files = Files.list(directory)) {
                for (Path jar : files.filter(file -> file.toString().endsWith(".jar")).toList()) urls.add(url(jar));
            }
        }
        return urls.toArray(URL[]::new);
    }

    private static URL url(Path path) throws MalformedURLException {
        return path.toUri().toURL();
    }
}
