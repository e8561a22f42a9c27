package mothcross.listener;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/** Fails each test during which a line at level error is logged: nothing may be logged so in a green run. */
public final class ErrorLogListener implements IInvokedMethodListener {
    /** A line of slf4j-simple with the time in front, as src/main/resources/simplelogger.properties sets it. */
    private static final Pattern ERROR_LINE = Pattern.compile("\\d\\d:\\d\\d:\\d\\d\\.\\d\\d\\d ERROR .*");
    private static final int MAX_LINE_BYTES = 2000;

    private static final List<String> ERRORS = new ArrayList<>();

    /** Passes all on and keeps the lines at level error. */
    private static final class ErrorLineRecorder extends OutputStream {
        private final PrintStream target;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        ErrorLineRecorder(PrintStream target) {
            this.target = target;
        }

        @Override public synchronized void write(int value) {
            target.write(value);
            if (value != '\n') {
                if (line.size() < MAX_LINE_BYTES) line.write(value);
                return;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (!ERROR_LINE.matcher(text).matches()) return;
            synchronized (ERRORS) {
                ERRORS.add(text);
            }
        }

        @Override public synchronized void flush() {
            target.flush();
        }
    }

    /** Installed once, before any test runs. */
    public ErrorLogListener() {
        System.setErr(new PrintStream(new ErrorLineRecorder(System.err), true, StandardCharsets.UTF_8));
    }

    @Override public void afterInvocation(IInvokedMethod method, ITestResult result) {
        List<String> logged;
        synchronized (ERRORS) {
            logged = List.copyOf(ERRORS);
            ERRORS.clear();
        }
        if (logged.isEmpty() || !result.isSuccess()) return;
        result.setStatus(ITestResult.FAILURE);
        result.setThrowable(new AssertionError("logged at level error: " + logged));
    }
}
