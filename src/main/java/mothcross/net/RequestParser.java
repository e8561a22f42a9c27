package mothcross.net;

/**
 * Parses the head of a client's HTTP/1.1 request in place. The positions that it leaves are those in the array that was
 * parsed, and -1 where a field is absent. A head that can't be read has a status to refuse it with; fields that can't
 * be used leave {@link #fieldsValid} false.
 */
final class RequestParser {
    /** For the bodies of reads (GET). */
    private static final int MAX_READ_BODY_BYTES = 16_384;
    /** For the bodies of writes (PUT): the largest object of the protocol. */
    static final int MAX_WRITE_BODY_BYTES = 240_000;
    private static final int MAX_NODE_FIELD_BYTES = 128;
    private static final int MAX_GROUP = 255;
    private static final int REQUEST_ID_DIGITS = 16;

    /** Bits of {@link #seenFields}: fields that make the request invalid if they occur twice. */
    private static final int SEEN_ID = 1;
    private static final int SEEN_WAIT = 2;
    private static final int SEEN_GROUP = 4;
    private static final int SEEN_SIZE = 8;
    private static final int SEEN_TOKEN = 16;

    private byte[] bytes;
    private ActiveRoutes routes;
    int targetStart;
    int targetEnd;
    int etagStart;
    int etagEnd;
    int idStart;
    int idEnd;
    int tokenStart;
    int tokenEnd;
    double waitMs;
    double sizeKb;
    long bodyLength;
    long group;
    boolean repeat;
    boolean fieldsValid;
    boolean put;
    private int seenFields;
    /** Whether the connection is to be closed after the answer. */
    boolean close;

    /** Parses the head in place; returns the status to refuse the request with, or null. */
    String parse(byte[] input, int from, int headEnd, ActiveRoutes activeRoutes) {
        reset();
        bytes = input;
        routes = activeRoutes;
        if (routes != null) routes.headStarted();
        String errorStatus = parseLines(from, headEnd);
        bytes = null;                                       // the connection may release the array
        return errorStatus;
    }

    private String parseLines(int from, int headEnd) {
        int lineFeed = Bytes.indexOf(bytes, from, headEnd, '\n');
        String errorStatus = parseRequestLine(from, lineFeed);
        if (errorStatus != null) return errorStatus;
        for (int line = lineFeed + 1; line < headEnd - 2; line = lineFeed + 1) {
            lineFeed = Bytes.indexOf(bytes, line, headEnd, '\n');
            errorStatus = parseHeaderLine(line, lineFeed);
            if (errorStatus != null) return errorStatus;
        }
        bodyLength = Math.max(0, bodyLength);
        return null;
    }

    private void reset() {
        targetStart = etagStart = idStart = tokenStart = -1;
        sizeKb = 0;
        waitMs = Double.NaN;
        group = -1;
        bodyLength = -1;
        repeat = false;
        fieldsValid = true;
        seenFields = 0;
        close = false;
    }

    private String parseRequestLine(int from, int lineFeed) {
        if (lineFeed == from || bytes[lineFeed - 1] != '\r') return "400 Bad Request";
        int methodEnd = Bytes.indexOf(bytes, from, lineFeed, ' ');
        int pathEnd = methodEnd < 0 ? -1 : Bytes.indexOf(bytes, methodEnd + 1, lineFeed, ' ');
        if (methodEnd <= from || pathEnd <= methodEnd + 1) return "400 Bad Request";
        boolean http10 = Bytes.matches(bytes, pathEnd + 1, lineFeed - 1, "HTTP/1.0");
        if (!http10 && !Bytes.matches(bytes, pathEnd + 1, lineFeed - 1, "HTTP/1.1")) return "400 Bad Request";
        put = Bytes.matches(bytes, from, methodEnd, "PUT");
        if (!put && !Bytes.matches(bytes, from, methodEnd, "GET")) return "405 Method Not Allowed";
        targetStart = methodEnd + 1;
        targetEnd = pathEnd;
        close = http10;
        return null;
    }

    private String parseHeaderLine(int start, int lineFeed) {
        int colon = Bytes.indexOf(bytes, start, lineFeed, ':');
        if (bytes[lineFeed - 1] != '\r' || colon <= start || !isToken(start, colon)) return "400 Bad Request";
        int value = colon + 1;
        int valueEnd = lineFeed - 1;
        while (value < valueEnd && isBlank(bytes[value])) value++;
        while (valueEnd > value && isBlank(bytes[valueEnd - 1])) valueEnd--;
        for (int i = value; i < valueEnd; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t') return "400 Bad Request";
        }
        if (Bytes.matchesIgnoreCase(bytes, start, colon, "content-length")) {
            long length = Bytes.parseInteger(bytes, value, valueEnd);
            if (length < 0 || bodyLength >= 0 && bodyLength != length) return "400 Bad Request";
            if (length > (put ? MAX_WRITE_BODY_BYTES : MAX_READ_BODY_BYTES)) return "413 Content Too Large";
            bodyLength = length;
        } else if (Bytes.matchesIgnoreCase(bytes, start, colon, "transfer-encoding")) {
            return "501 Not Implemented";
        } else {
            parseField(start, colon, value, valueEnd);
        }
        return null;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    /** Whether all bytes may stand in a token of HTTP. */
    private boolean isToken(int start, int end) {
        for (int i = start; i < end; i++) {
            int c = bytes[i];
            boolean alphanumeric = c >= '0' && c <= '9' || (c | 32) >= 'a' && (c | 32) <= 'z';
            if (!alphanumeric && "!#$%&'*+-.^_`|~".indexOf(c) < 0) return false;
        }
        return true;
    }

    private void parseField(int name, int nameEnd, int value, int valueEnd) {
        if (routes != null) routes.headerField(bytes, name, nameEnd, value, valueEnd);
        if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "connection")) {
            close = Bytes.matchesIgnoreCase(bytes, value, valueEnd, "close")
                || close && !Bytes.matchesIgnoreCase(bytes, value, valueEnd, "keep-alive");
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-id")) {
            checkField(SEEN_ID, valueEnd - value == REQUEST_ID_DIGITS && Bytes.isHex(bytes, value, valueEnd));
            idStart = value;
            idEnd = valueEnd;
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-wait-ms")) {
            waitMs = Bytes.parseDecimal(bytes, value, valueEnd);
            checkField(SEEN_WAIT, waitMs >= 0);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-retry")) {
            repeat = Bytes.matches(bytes, value, valueEnd, "1");
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "x-lot")) {
            group = Bytes.parseInteger(bytes, value, valueEnd);
            checkField(SEEN_GROUP, group >= 0 && group <= MAX_GROUP);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-kb")) {
            sizeKb = Bytes.parseDecimal(bytes, value, valueEnd);
            checkField(SEEN_SIZE, sizeKb >= 0);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-token")) {
            checkField(SEEN_TOKEN, fitsNodeLine(value, valueEnd));
            tokenStart = value;
            tokenEnd = valueEnd;
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "if-none-match")) {
            // Only a single strong tag that can stand in a line of the node protocol; any other value is ignored.
            boolean quoted = valueEnd - value >= 3 && bytes[value] == '"' && bytes[valueEnd - 1] == '"';
            if (!quoted || !fitsNodeLine(value + 1, valueEnd - 1)) return;
            etagStart = value + 1;
            etagEnd = valueEnd - 1;
        }
    }

    /** Whether the bytes can stand as a value in a line of the node protocol. */
    private boolean fitsNodeLine(int start, int end) {
        for (int i = start; i < end; i++) {
            if (bytes[i] <= ' ' || bytes[i] == '"' || bytes[i] == ',') return false;
        }
        return end > start && end - start <= MAX_NODE_FIELD_BYTES;
    }

    /** Makes the request invalid if a field that decides the lookup is malformed or occurs twice. */
    private void checkField(int seenBit, boolean valid) {
        fieldsValid &= valid && (seenFields & seenBit) == 0;
        seenFields |= seenBit;
    }
}
