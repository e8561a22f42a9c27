package mothcross.operators;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import scala.Function1;
import scala.Option;
import scala.collection.immutable.Map$;
import scala.runtime.BoxedUnit;
import scala.util.Either;
import sjsonnet.DefaultParseCache;
import sjsonnet.Importer;
import sjsonnet.Interpreter;
import sjsonnet.Interpreter$;
import sjsonnet.OsPath;
import sjsonnet.ResolvedFile;
import sjsonnet.Settings;
import sjsonnet.StaticResolvedFile;

/**
 * The main class of the child process that evaluates one Jsonnet file to standard output. A template may read files in
 * its own directory and below, after links are resolved, and nothing else: no environment and no other input.
 */
final class Template {
    private static final long MAX_FILE_BYTES = 1 << 20;

    private Template() { }

    public static void main(String[] args) throws IOException {
        Path file = Path.of(args[0]).toRealPath();
        Interpreter interpreter = interpreter(file.getParent());
        int status = 0;
        String output;
        if (Files.size(file) > MAX_FILE_BYTES) {
            output = "larger than " + MAX_FILE_BYTES + " bytes";
            status = TemplateEvaluation.TEMPLATE_ERROR_STATUS;
        } else {
            try {
                Either<String, ujson.Value> result = interpreter.interpret(Files.readString(file), sjsonnetPath(file));
                output = result.isRight() ? result.toOption().get().toString()
                    : singleLine(result.left().toOption().get());
                if (result.isLeft()) status = TemplateEvaluation.TEMPLATE_ERROR_STATUS;
            } catch (StackOverflowError e) {
                output = "calls itself too deeply";
                status = TemplateEvaluation.TEMPLATE_ERROR_STATUS;
            }
        }
        System.out.write(output.getBytes(StandardCharsets.UTF_8));
        System.out.flush();
        System.exit(status);
    }

    private static Interpreter interpreter(Path directory) {
        Function1<sjsonnet.Position, BoxedUnit> ignorePosition = position -> BoxedUnit.UNIT;
        Function1<String, BoxedUnit> ignoreWarning = warning -> BoxedUnit.UNIT;
        scala.collection.immutable.Map<String, String> noVariables = Map$.MODULE$.empty();
        Settings settings = new Settings(false, false, false, false, false, false);
        return new Interpreter(noVariables, noVariables, sjsonnetPath(directory), new DirectoryImporter(directory),
            new DefaultParseCache(), settings, ignorePosition, ignoreWarning,
            Interpreter$.MODULE$.$lessinit$greater$default$9());
    }

    /** Imports regular files of bounded size whose real path is within one directory. */
    private static final class DirectoryImporter extends Importer {
        private final Path directory;

        DirectoryImporter(Path directory) {
            this.directory = directory;
        }

        @Override public Option<sjsonnet.Path> resolve(sjsonnet.Path from, String name) {
            try {
                Path base = ((OsPath) from).p().toNIO();
                Path wanted = base.resolve(name).toRealPath();
                return wanted.startsWith(directory) && Files.isRegularFile(wanted)
                    ? Option.apply(sjsonnetPath(wanted)) : Option.empty();
            } catch (IOException e) {
                return Option.empty();
            }
        }

        @Override public Option<ResolvedFile> read(sjsonnet.Path from) {
            try {
                Path file = ((OsPath) from).p().toNIO();
                if (Files.size(file) > MAX_FILE_BYTES) return Option.empty();
                return Option.apply(new StaticResolvedFile(Files.readString(file)));
            } catch (IOException e) {
                return Option.empty();
            }
        }
    }

    private static OsPath sjsonnetPath(Path path) {
        return new OsPath(os.Path$.MODULE$.apply(path, os.PathConvertible.NioPathConvertible$.MODULE$));
    }

    /** An error of the library, which is the message and where it arose, in one line. */
    private static String singleLine(String error) {
        return error.strip().replaceAll("\\s*\\n\\s*", ", ");
    }
}
