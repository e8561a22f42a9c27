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
 * The child process that evaluates one Jsonnet file to standard output. Owns what a template may read: files in
 * its own folder and below, links followed; never anything else, no environment, no other input.
 */
final class Template {
    private static final long LARGEST = 1 << 20;

    private Template() { }

    public static void main(String[] args) throws IOException {
        Path file = Path.of(args[0]).toRealPath();
        Path folder = file.getParent();
        Importer importer = new Importer() {
            @Override public Option<sjsonnet.Path> resolve(sjsonnet.Path from, String name) {
                try {
                    Path base = ((OsPath) from).p().toNIO();
                    Path wanted = base.resolve(name).toRealPath();
                    return wanted.startsWith(folder) && Files.isRegularFile(wanted)
                        ? Option.apply(path(wanted)) : Option.empty();
                } catch (IOException e) {
                    return Option.empty();
                }
            }

            @Override public Option<ResolvedFile> read(sjsonnet.Path at) {
                try {
                    Path p = ((OsPath) at).p().toNIO();
                    if (Files.size(p) > LARGEST) return Option.empty();
                    return Option.apply(new StaticResolvedFile(Files.readString(p)));
                } catch (IOException e) {
                    return Option.empty();
                }
            }
        };
        Function1<sjsonnet.Position, BoxedUnit> noPlace = p -> BoxedUnit.UNIT;
        Function1<String, BoxedUnit> noWarning = w -> BoxedUnit.UNIT;
        scala.collection.immutable.Map<String, String> none = Map$.MODULE$.empty();
        Interpreter in = new Interpreter(none, none, path(folder), importer, new DefaultParseCache(),
            new Settings(false, false, false, false, false, false), noPlace, noWarning,
                Interpreter$.MODULE$.$lessinit$greater$default$9());
        int status = 0;
        String text;
        if (Files.size(file) > LARGEST) {
            text = "larger than " + LARGEST + " bytes";
            status = TemplateEvaluation.AT_FAULT;
        } else {
            try {
                Either<String, ujson.Value> value = in.interpret(Files.readString(file), path(file));
                text = value.isRight() ? value.toOption().get().toString() : plain(value.left().toOption().get());
                if (value.isLeft()) status = TemplateEvaluation.AT_FAULT;
            } catch (StackOverflowError e) {
                text = "calls itself too deeply";
                status = TemplateEvaluation.AT_FAULT;
            }
        }
        System.out.write(text.getBytes(StandardCharsets.UTF_8));
        System.out.flush();
        System.exit(status);
    }

    private static OsPath path(Path p) {
        return new OsPath(os.Path$.MODULE$.apply(p, os.PathConvertible.NioPathConvertible$.MODULE$));
    }

    /** One line of what the library says: the error, and where it arose. */
    private static String plain(String error) {
        return error.strip().replaceAll("\\s*\\n\\s*", ", ");
    }
}
