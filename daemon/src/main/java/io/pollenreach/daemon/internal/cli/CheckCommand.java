package io.pollenreach.daemon.internal.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.ResultCode;
import io.pollenreach.daemon.internal.declare.DeclarationFiles;
import io.pollenreach.daemon.internal.settings.SettingsFile;
import io.pollenreach.daemon.internal.yaml.Document;
import io.pollenreach.daemon.internal.yaml.YamlReader;

/** Checks files without a server. For use by one thread. */
@Command(name = "check", description = "Checks settings or declarations without a server")
public final class CheckCommand extends BaseCommand {
    /** What a file holds. Immutable. */
    private enum Content {
        ENTRY {
            @Override
            String check(Path file) {
                return "settings of entry " + SettingsFile.loadEntry(file).id();
            }
        },
        AGENT {
            @Override
            String check(Path file) {
                return "settings of agent " + SettingsFile.loadAgent(file).id();
            }
        },
        DECLARATIONS {
            @Override
            String check(Path file) {
                return DeclarationFiles.read(file).size() + " declarations";
            }
        };

        /** Checks a file; returns what was found. */
        abstract String check(Path file);
    }

    @Arguments(title = "FILE", description = "A YAML file, or a directory of declarations.")
    @Required
    String file;

    @Option(
            name = "--as",
            title = "CONTENT",
            description = "entry, agent or declarations. Default: told from the keys in the file.")
    String as;

    @Override
    int run(Console console) {
        Path path = Path.of(file);
        Content content = as == null ? guess(path) : parse(as);
        console.out().println(file + ": " + content.check(path) + ", no problems.");
        return ResultCode.OK.exitStatus();
    }

    private static Content parse(String word) {
        try {
            return Content.valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--as must be entry, agent or declarations.");
        }
    }

    private static Content guess(Path path) {
        if (Files.isDirectory(path)) {
            return Content.DECLARATIONS;
        }
        // Problems are reported by the check that follows.
        List<Document> documents = YamlReader.read(path, new ArrayList<>());
        if (documents.isEmpty()) {
            return Content.DECLARATIONS;
        }
        ObjectNode root = documents.get(0).root();
        if (root.has("platformUri") || root.has("operatorTokenSha256")) {
            return Content.ENTRY;
        }
        return root.has("targetUri") || root.has("entries") ? Content.AGENT : Content.DECLARATIONS;
    }
}
