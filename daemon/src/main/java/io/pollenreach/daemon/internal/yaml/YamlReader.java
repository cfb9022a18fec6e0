package io.pollenreach.daemon.internal.yaml;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.pollenreach.ResultCode;

/**
 * Reads the documents of one YAML file, remembering the line of each value.
 *
 * <p>Invariant: whatever the input, the outcome is documents and problems, never an exception. Aliases are refused, so
 * the result is never larger than the file. For use by one thread.
 */
public final class YamlReader {
    /** The largest file that is read. */
    public static final int MAX_FILE_BYTES = 1 << 20;

    private static final int MAX_DEPTH = 32;
    private static final YAMLFactory FORMAT = new YAMLFactory();

    private final String file;
    private final List<Problem> problems;
    private final List<Document> documents = new ArrayList<>();
    private Map<String, Integer> lines = new HashMap<>();

    private YamlReader(String file, List<Problem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @param problems takes what is wrong
     * @return the documents that could be read; empty ones are left out
     */
    public static List<Document> read(Path path, List<Problem> problems) {
        YamlReader reader = new YamlReader(path.toString(), problems);
        try (InputStream in = Files.newInputStream(path)) {
            byte[] content = in.readNBytes(MAX_FILE_BYTES + 1);
            reader.readBytes(content);
        } catch (IOException e) {
            reader.report(1, "", ResultCode.NOT_FOUND, "The file can't be read: " + e.getMessage());
        }
        return reader.documents;
    }

    /** Reads text as if it were the content of a file. */
    public static List<Document> read(String file, String text, List<Problem> problems) {
        YamlReader reader = new YamlReader(file, problems);
        reader.readBytes(text.getBytes(StandardCharsets.UTF_8));
        return reader.documents;
    }

    private void readBytes(byte[] content) {
        if (content.length > MAX_FILE_BYTES) {
            report(1, "", ResultCode.TOO_LARGE, "The file is larger than " + MAX_FILE_BYTES + " bytes.");
            return;
        }
        try {
            parse(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString());
        } catch (CharacterCodingException e) {
            report(1, "", ResultCode.MALFORMED, "The file is not UTF-8 text.");
        }
    }

    private void parse(String text) {
        try (YAMLParser parser = FORMAT.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                readDocument(parser);
            }
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            report(at == null ? 1 : at.getLineNr(), "", ResultCode.MALFORMED, plainText(e.getOriginalMessage()));
        } catch (IOException | RuntimeException e) {
            // The YAML library throws its own unchecked exceptions for some malformed input.
            report(1, "", ResultCode.MALFORMED, plainText(String.valueOf(e.getMessage())));
        }
    }

    private void readDocument(YAMLParser parser) throws IOException {
        lines = new HashMap<>();
        int firstLine = line(parser);
        JsonNode root = readValue(parser, "", 0);
        boolean empty = root.isNull() || root.isTextual() && root.textValue().isEmpty();
        if (empty) {
            return;
        }
        if (!root.isObject()) {
            report(firstLine, "", ResultCode.MALFORMED, "The document must be a mapping of keys to values.");
            return;
        }
        documents.add(new Document(file, (ObjectNode) root, firstLine, lines));
    }

    private JsonNode readValue(YAMLParser parser, String path, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("Line " + line(parser) + " is nested more than " + MAX_DEPTH + " levels deep.");
        }
        if (parser.isCurrentAlias()) {
            report(line(parser), path, ResultCode.MALFORMED, "Aliases are not supported; write the value out.");
            return JsonNodeFactory.instance.nullNode();
        }
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readObject(parser, path, depth);
            case START_ARRAY:
                return readArray(parser, path, depth);
            case VALUE_NUMBER_INT:
                return JsonNodeFactory.instance.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT:
                return JsonNodeFactory.instance.numberNode(parser.getDecimalValue());
            case VALUE_TRUE:
                return JsonNodeFactory.instance.booleanNode(true);
            case VALUE_FALSE:
                return JsonNodeFactory.instance.booleanNode(false);
            case VALUE_NULL:
                return JsonNodeFactory.instance.nullNode();
            default:
                return JsonNodeFactory.instance.textNode(parser.getText());
        }
    }

    private ObjectNode readObject(YAMLParser parser, String path, int depth) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String child = path.isEmpty() ? name : path + "." + name;
            int line = line(parser);
            parser.nextToken();
            JsonNode value = readValue(parser, child, depth + 1);
            if (object.has(name)) {
                report(
                        line,
                        child,
                        ResultCode.DUPLICATE_NAME,
                        "The key is written twice; first at line " + lines.get(child) + ".");
                continue;
            }
            lines.put(child, line);
            object.set(name, value);
        }
        return object;
    }

    private ArrayNode readArray(YAMLParser parser, String path, int depth) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String child = path + "[" + array.size() + "]";
            lines.put(child, line(parser));
            array.add(readValue(parser, child, depth + 1));
        }
        return array;
    }

    private void report(int line, String path, ResultCode code, String detail) {
        problems.add(new Problem(file, line, new Violation(path, code, detail)));
    }

    private static int line(YAMLParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    private static String plainText(String message) {
        // The YAML library shows the place and an excerpt on indented lines.
        String text = message.lines()
                .filter(l -> !l.isBlank() && !Character.isWhitespace(l.charAt(0)))
                .collect(Collectors.joining(": "));
        return text.isEmpty() ? "The content is not well-formed." : text;
    }
}
