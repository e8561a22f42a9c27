package mothcross.expr;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A reference implementation of the language: walks the syntax tree with boxed values, without sharing, constant
 * folding or limits; null stands for absent. It is written from the description of the language for operators and not
 * from the compiler, so that both are unlikely to have the same error.
 */
final class NaiveEvaluator {
    private final Map<String, Object> request;
    private final double nowMs;

    NaiveEvaluator(Map<String, Object> request, double nowMs) {
        this.request = request;
        this.nowMs = nowMs;
    }

    Object value(SyntaxTree tree) {
        if (tree instanceof SyntaxTree.NumberLiteral literal) return number(literal);
        if (tree instanceof SyntaxTree.StringLiteral literal) return literal.bytes();
        if (tree instanceof SyntaxTree.BooleanLiteral literal) return literal.value();
        if (tree instanceof SyntaxTree.Name name) return request.get(name.name());
        if (tree instanceof SyntaxTree.Conditional conditional) {
            boolean condition = (boolean) value(conditional.condition());
            return value(condition ? conditional.thenBranch() : conditional.elseBranch());
        }
        if (tree instanceof SyntaxTree.Unary unary) {
            Object operand = value(unary.operand());
            if (unary.operator().equals("!")) return !(boolean) operand;
            return operand instanceof Long l ? (Object) saturated(0, '-', l) : (Object) (0 - (double) operand);
        }
        if (tree instanceof SyntaxTree.Index index) {
            int number = (int) (long) value(index.index());
            String[] pieces = split((SyntaxTree.Call) index.indexed());
            return number < pieces.length ? bytes(pieces[number]) : null;
        }
        if (tree instanceof SyntaxTree.Binary binary) return binary(binary);
        return call((SyntaxTree.Call) tree);
    }

    private static Object number(SyntaxTree.NumberLiteral literal) {
        double unit = switch (literal.unit()) {
            case "s" -> 1000;
            case "m" -> 60_000;
            case "h" -> 3_600_000;
            case "KB" -> 1000;
            default -> 1;
        };
        if (literal.unit().isEmpty() && literal.digits().indexOf('.') < 0) return Long.parseLong(literal.digits());
        return Double.parseDouble(literal.digits()) * unit;
    }

    private String[] split(SyntaxTree.Call call) {
        String rest = text(value(call.arguments().get(0)));
        String separator = text(value(call.arguments().get(1)));
        int maxPieces = (int) (long) value(call.arguments().get(2));
        List<String> pieces = new ArrayList<>();
        while (pieces.size() < maxPieces - 1 && rest.contains(separator)) {
            pieces.add(rest.substring(0, rest.indexOf(separator)));
            rest = rest.substring(rest.indexOf(separator) + separator.length());
        }
        pieces.add(rest);
        return pieces.toArray(String[]::new);
    }

    private static long saturated(long left, char operator, long right) {
        BigInteger x = BigInteger.valueOf(left);
        BigInteger y = BigInteger.valueOf(right);
        BigInteger result = switch (operator) {
            case '+' -> x.add(y);
            case '-' -> x.subtract(y);
            case '*' -> x.multiply(y);
            case '/' -> x.divide(y);
            default -> x.remainder(y);
        };
        if (result.bitLength() < 64) return result.longValue();
        return result.signum() < 0 ? Long.MIN_VALUE : Long.MAX_VALUE;
    }

    private Object binary(SyntaxTree.Binary tree) {
        return switch (tree.operator()) {
            case "&&" -> (boolean) value(tree.left()) & (boolean) value(tree.right());
            case "||" -> (boolean) value(tree.left()) | (boolean) value(tree.right());
            case "??" -> {
                Object left = value(tree.left());
                yield left != null ? left : value(tree.right());
            }
            case "in" -> in(value(tree.left()), tree.right());
            case "==" -> equal(value(tree.left()), value(tree.right()));
            case "!=" -> !equal(value(tree.left()), value(tree.right()));
            case "<", "<=", ">", ">=" -> ordered(value(tree.left()), tree.operator(), value(tree.right()));
            default -> arithmetic(value(tree.left()), tree.operator().charAt(0), value(tree.right()));
        };
    }

    private boolean in(Object value, SyntaxTree set) {
        if (set instanceof SyntaxTree.Range range) {
            return compare(value, value(range.low())) >= 0 && compare(value, value(range.high())) <= 0;
        }
        return ((SyntaxTree.ListLiteral) set).elements().stream().anyMatch(element -> equal(value, value(element)));
    }

    private static boolean ordered(Object left, String operator, Object right) {
        boolean isLess = operator.charAt(0) == '<';
        boolean includesEqual = operator.length() == 2;
        if (left instanceof Long x && right instanceof Long y) {
            return isLess ? x < y || includesEqual && x.equals(y) : x > y || includesEqual && x.equals(y);
        }
        double x = ((Number) left).doubleValue();
        double y = ((Number) right).doubleValue();
        return isLess ? x < y || includesEqual && x == y : x > y || includesEqual && x == y;
    }

    private static Object arithmetic(Object left, char operator, Object right) {
        if (left instanceof byte[] bytes) return bytes(text(bytes) + text(right));
        if (left instanceof Long x && right instanceof Long y) return saturated(x, operator, y);
        double x = ((Number) left).doubleValue();
        double y = ((Number) right).doubleValue();
        return switch (operator) {
            case '+' -> x + y;
            case '-' -> x - y;
            case '*' -> x * y;
            case '/' -> x / y;
            default -> x % y;
        };
    }

    private static boolean equal(Object left, Object right) {
        if (left instanceof byte[] bytes) return Arrays.equals(bytes, (byte[]) right);
        if (left instanceof Boolean) return left.equals(right);
        if (left instanceof Long && right instanceof Long) return left.equals(right);
        return ((Number) left).doubleValue() == ((Number) right).doubleValue();
    }

    private static int compare(Object left, Object right) {
        if (left instanceof Long x && right instanceof Long y) return Long.compare(x, y);
        // Adding 0.0 turns -0.0 into 0.0, which Double.compare would order before it.
        return Double.compare(((Number) left).doubleValue() + 0.0, ((Number) right).doubleValue() + 0.0);
    }

    private Object call(SyntaxTree.Call call) {
        if (call.name().equals("header")) {
            return request.get("header:" + text(value(call.arguments().get(0))).toLowerCase(Locale.ROOT));
        }
        Object x = call.arguments().isEmpty() ? null : value(call.arguments().get(0));
        Object y = call.arguments().size() < 2 ? null : value(call.arguments().get(1));
        return switch (call.name()) {
            case "has" -> x != null;
            case "starts" -> text(x).startsWith(text(y));
            case "ends" -> text(x).endsWith(text(y));
            case "contains" -> text(x).contains(text(y));
            case "first" -> bytes(text(x).substring(0, (int) Math.min(text(x).length(), (long) y)));
            case "skip" -> bytes(text(x).substring((int) Math.min(text(x).length(), (long) y)));
            case "length" -> (long) text(x).length();
            case "lower" -> {
                StringBuilder lower = new StringBuilder();
                for (char c : text(x).toCharArray()) lower.append(c >= 'A' && c <= 'Z' ? (char) (c + 32) : c);
                yield bytes(lower.toString());
            }
            case "decimal" -> {
                if (!text(x).matches("[0-9]{1,19}")) yield null;
                BigInteger value = new BigInteger(text(x));
                yield value.bitLength() > 63 ? null : (Object) value.longValue();
            }
            case "hex" -> text(x).matches("[0-9a-fA-F]{1,16}") ? (Object) Long.parseUnsignedLong(text(x), 16) : null;
            case "double" -> (double) (long) x;
            case "bucket" -> Long.remainderUnsigned((long) x, (long) y);
            case "matches" -> Pattern.compile(text(y), Pattern.DOTALL).matcher(text(x)).find();
            case "weekday" -> (long) utc().getDayOfWeek().getValue();
            case "time_of_day" -> (double) utc().toLocalTime().toNanoOfDay() / 1e6;
            default -> throw new IllegalArgumentException(call.name());
        };
    }

    private ZonedDateTime utc() {
        return Instant.ofEpochMilli((long) nowMs).atZone(ZoneOffset.UTC);
    }

    static String text(Object bytes) {
        return new String((byte[]) bytes, StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
