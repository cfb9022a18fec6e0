package io.pollenreach.daemon.internal.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.pollenreach.PollenreachException;
import io.pollenreach.ResultCode;

/** Prints what the logs of several processes say of one job, in order. For use by one thread. */
@Command(name = "explain", description = "Prints the log lines that concern one job, in the order of their time")
public final class ExplainCommand extends BaseCommand {
    private static final Pattern TIME = Pattern.compile("\\bts=(\\S+)");
    /** Splits a line into words, so that an id is not found inside a longer one. */
    private static final Pattern WORD_END = Pattern.compile("[^0-9A-Za-z-]+");

    @Arguments(title = "JOB FILE...", description = "The job, then log files; without files standard input is read.")
    @Required
    List<String> words;

    @Override
    int run(Console console) throws IOException {
        String job = words.get(0);
        List<String> found = new ArrayList<>();
        if (words.size() == 1) {
            BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            in.lines().filter(l -> concerns(l, job)).forEach(found::add);
        }
        for (String file : words.subList(1, words.size())) {
            try (Stream<String> lines = Files.lines(Path.of(file))) {
                lines.filter(l -> concerns(l, job)).forEach(found::add);
            }
        }
        if (found.isEmpty()) {
            throw new PollenreachException(ResultCode.NOT_FOUND, "no line concerns " + job);
        }
        found.sort(Comparator.comparing(ExplainCommand::time));
        found.forEach(console.out()::println);
        return ResultCode.OK.exitStatus();
    }

    private static boolean concerns(String line, String job) {
        return line.contains(job) && WORD_END.splitAsStream(line).anyMatch(job::equals);
    }

    // Times are in one format and zone, so their texts sort as they do.
    private static String time(String line) {
        Matcher time = TIME.matcher(line);
        return time.find() ? time.group(1) : "";
    }
}
