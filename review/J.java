package third;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
final class J {
    private final String s;
    private int i;

    private J(String s) {
        this.s = s;
    }

    static Object parse(String text) {
        J j = new J(text);
        Object v = j.value();
        return v;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long number(Map<String, Object> o, String key) {
        Object v = o.get(key);
        return v instanceof Number ? ((Number) v).longValue() : 0;
    }

    static String text(Map<String, Object> o, String key) {
        Object v = o.get(key);
        return v == null ? "" : v.toString();
    }

    private void space() {
        while (i < s.length() && s.charAt(i) <= ' ') {
            i++;
        }
    }

    private Object value() {
        space();
        char c = s.charAt(i);
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            i++;
            space();
            while (s.charAt(i) != '}') {
                space();
                String k = string();
                space();
                i++;
                m.put(k, value());
                space();
                if (s.charAt(i) == ',') {
                    i++;
                }
                space();
            }
            i++;
            return m;
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            i++;
            space();
            while (s.charAt(i) != ']') {
                l.add(value());
                space();
                if (s.charAt(i) == ',') {
                    i++;
                }
                space();
            }
            i++;
            return l;
        }
        if (c == '"') {
            return string();
        }
        int from = i;
        while (i < s.length() && "+-.eE0123456789truefalsn".indexOf(s.charAt(i)) >= 0) {
            i++;
        }
        String word = s.substring(from, i);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                if (word.contains(".") || word.contains("e") || word.contains("E")) {
                    return Double.parseDouble(word);
                }
                return Long.parseLong(word);
        }
    }

    private String string() {
        StringBuilder b = new StringBuilder();
        i++;
        while (s.charAt(i) != '"') {
            char c = s.charAt(i++);
            if (c == '\\') {
                char e = s.charAt(i++);
                switch (e) {
                    case 'n':
                        b.append('\n');
                        break;
                    case 't':
                        b.append('\t');
                        break;
                    case 'r':
                        b.append('\r');
                        break;
                    case 'b':
                        b.append('\b');
                        break;
                    case 'f':
                        b.append('\f');
                        break;
                    case 'u':
                        b.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
                        i += 4;
                        break;
                    default:
                        b.append(e);
                }
            } else {
                b.append(c);
            }
        }
        i++;
        return b.toString();
    }

    static String write(Object v) {
        StringBuilder b = new StringBuilder();
        write(b, v);
        return b.toString();
    }

    private static void write(StringBuilder b, Object v) {
        if (v instanceof Map<?, ?> m) {
            b.append('{');
            String sep = "";
            for (Map.Entry<?, ?> e : m.entrySet()) {
                b.append(sep);
                write(b, e.getKey().toString());
                b.append(':');
                write(b, e.getValue());
                sep = ",";
            }
            b.append('}');
        } else if (v instanceof List<?> l) {
            b.append('[');
            String sep = "";
            for (Object o : l) {
                b.append(sep);
                write(b, o);
                sep = ",";
            }
            b.append(']');
        } else if (v instanceof String t) {
            b.append('"');
            for (int k = 0; k < t.length(); k++) {
                char c = t.charAt(k);
                if (c == '"' || c == '\\') {
                    b.append('\\').append(c);
                } else if (c < ' ') {
                    b.append(String.format("\\u%04x", (int) c));
                } else {
                    b.append(c);
                }
            }
            b.append('"');
        } else {
            b.append(v);
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int k = 0; k < pairs.length; k += 2) {
            m.put(pairs[k].toString(), pairs[k + 1]);
        }
        return m;
    }
}
