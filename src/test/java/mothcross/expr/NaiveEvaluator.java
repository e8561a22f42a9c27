package mothcross.expr;

import java.util.Arrays;
import java.util.Map;

/**
 * The reference: walks the tree with boxed values, nothing shared, nothing folded, no bounds; absent is null. Written
 * from
 * the operators' page of the language, not from the compiler.
 */
final class NaiveEvaluator {
    private final Map<String, Object> request;
    private final double now;

    NaiveEvaluator(Map<String, Object> request, double now) {
        this.request = request;
        this.now = now;
    }

    Object value(SyntaxTree t) {
        if (t instanceof SyntaxTree.Number n) {
            double unit = switch (n.unit()) {
                case "s" -> 1000;
                case "m" -> 60_000;
                case "h" -> 3_600_000;
                case "KB" -> 1000;
                default -> 1;
            };
            if (n.unit().isEmpty() && n.digits().indexOf('.') < 0) return Long.parseLong(n.digits());
            return Double.parseDouble(n.digits()) * unit;
        }
        if (t instanceof SyntaxTree.Text x) return x.bytes();
        if (t instanceof SyntaxTree.Truth x) return x.value();
        if (t instanceof SyntaxTree.Name x) return request.get(x.name());
        if (t instanceof SyntaxTree.Choice c) return value((boolean) value(c.condition()) ? c.yes() : c.no());
        if (t instanceof SyntaxTree.Unary u) {
            Object a = value(u.a());
            if (u.op().equals("!")) return !(boolean) a;
            return a instanceof Long l ? (Object) clamp(0, '-', l) : (Object) (0 - (double) a);
        }
        if (t instanceof SyntaxTree.Piece p) {
            SyntaxTree.Call c = (SyntaxTree.Call) p.of();
            int i = (int) (long) value(p.index());
            String[] pieces = cut(c);
            return i < pieces.length ? bytes(pieces[i]) : null;
        }
        if (t instanceof SyntaxTree.Binary b) return binary(b);
        return call((SyntaxTree.Call) t);
    }

    private String[] cut(SyntaxTree.Call c) {
        String s = text(value(c.args().get(0))), at = text(value(c.args().get(1)));
        int most = (int) (long) value(c.args().get(2));
        java.util.List<String> all = new java.util.ArrayList<>();
        while (all.size() < most - 1 && s.contains(at)) {
            all.add(s.substring(0, s.indexOf(at)));
            s = s.substring(s.indexOf(at) + at.length());
        }
        all.add(s);
        return all.toArray(String[]::new);
    }

    private static long clamp(long a, char op, long b) {
        java.math.BigInteger x = java.math.BigInteger.valueOf(a), y = java.math.BigInteger.valueOf(b);
        java.math.BigInteger r = switch (op) {
            case '+' -> x.add(y);
            case '-' -> x.subtract(y);
            case '*' -> x.multiply(y);
            case '/' -> x.divide(y);
            default -> x.remainder(y);
        };
        if (r.bitLength() < 64) return r.longValue();
        return r.signum() < 0 ? Long.MIN_VALUE : Long.MAX_VALUE;
    }

    private Object binary(SyntaxTree.Binary t) {
        switch (t.op()) {
            case "&&" -> {
                return (boolean) value(t.a()) & (boolean) value(t.b());
            }
            case "||" -> {
                return (boolean) value(t.a()) | (boolean) value(t.b());
            }
            case "??" -> {
                Object a = value(t.a());
                return a != null ? a : value(t.b());
            }
            case "in" -> {
                Object a = value(t.a());
                if (t.b() instanceof SyntaxTree.Range r) return compare(a, value(r.low())) >= 0 && compare(a,
                    value(r.high())) <= 0;
                return ((SyntaxTree.Among) t.b()).all().stream().anyMatch(x -> same(a, value(x)));
            }
            default -> { }
        }
        Object a = value(t.a()), b = value(t.b());
        switch (t.op()) {
            case "==" -> {
                return same(a, b);
            }
            case "!=" -> {
                return !same(a, b);
            }
            case "<", "<=", ">", ">=" -> {
                boolean equal = t.op().length() == 2;
                if (a instanceof Long x && b instanceof Long y) {
                    return t.op().charAt(0) == '<' ? x < y || equal && x.equals(y) : x > y || equal && x.equals(y);
                }
                double x = ((Number) a).doubleValue(), y = ((Number) b).doubleValue();
                return t.op().charAt(0) == '<' ? x < y || equal && x == y : x > y || equal && x == y;
            }
            default -> { }
        }
        if (a instanceof byte[] x) return bytes(text(x) + text(b));
        char op = t.op().charAt(0);
        if (a instanceof Long x && b instanceof Long y) return clamp(x, op, y);
        double x = ((Number) a).doubleValue(), y = ((Number) b).doubleValue();
        return switch (op) {
            case '+' -> x + y;
            case '-' -> x - y;
            case '*' -> x * y;
            case '/' -> x / y;
            default -> x % y;
        };
    }

    private static boolean same(Object a, Object b) {
        if (a instanceof byte[] x) return Arrays.equals(x, (byte[]) b);
        if (a instanceof Boolean) return a.equals(b);
        if (a instanceof Long && b instanceof Long) return a.equals(b);
        return ((Number) a).doubleValue() == ((Number) b).doubleValue();
    }

    private static int compare(Object a, Object b) {
        if (a instanceof Long x && b instanceof Long y) return Long.compare(x, y);
        return Double.compare(((Number) a).doubleValue() + 0.0, ((Number) b).doubleValue() + 0.0);
    }

    private Object call(SyntaxTree.Call t) {
        if (t.name().equals("header")) return request.get("header:" + text(value(t.args().get(0))).toLowerCase());
        Object a = t.args().isEmpty() ? null : value(t.args().get(0));
        Object b = t.args().size() < 2 ? null : value(t.args().get(1));
        return switch (t.name()) {
            case "has" -> a != null;
            case "starts" -> text(a).startsWith(text(b));
            case "ends" -> text(a).endsWith(text(b));
            case "contains" -> text(a).contains(text(b));
            case "first" -> bytes(text(a).substring(0, (int) Math.min(text(a).length(), (long) b)));
            case "skip" -> bytes(text(a).substring((int) Math.min(text(a).length(), (long) b)));
            case "length" -> (long) text(a).length();
            case "lower" -> {
                StringBuilder s = new StringBuilder();
                for (char c : text(a).toCharArray()) s.append(c >= 'A' && c <= 'Z' ? (char) (c + 32) : c);
                yield bytes(s.toString());
            }
            case "decimal" -> {
                if (!text(a).matches("[0-9]{1,19}")) yield null;
                java.math.BigInteger v = new java.math.BigInteger(text(a));
                yield v.bitLength() > 63 ? null : (Object) v.longValue();
            }
            case "hex" -> text(a).matches("[0-9a-fA-F]{1,16}") ? (Object) Long.parseUnsignedLong(text(a), 16) : null;
            case "double" -> (double) (long) a;
            case "bucket" -> Long.remainderUnsigned((long) a, (long) b);
            case "matches" -> java.util.regex.Pattern.compile(text(b),
                java.util.regex.Pattern.DOTALL).matcher(text(a)).find();
            case "weekday" -> (long) java.time.Instant.ofEpochMilli((long) now).atZone(java.time.ZoneOffset.UTC)
                .getDayOfWeek().getValue();
            case "time_of_day" -> (double) java.time.Instant.ofEpochMilli((long) now).atZone(java.time.ZoneOffset.UTC)
                .toLocalTime().toNanoOfDay() / 1e6;
            default -> throw new IllegalArgumentException(t.name());
        };
    }

    static String text(Object b) {
        return new String((byte[]) b, java.nio.charset.StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String s) {
        return s.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    }
}
