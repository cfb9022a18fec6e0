package io.pollenreach.bench.experiment;

/** One copy of a request at one runner. Not safe for use by many threads. */
final class Attempt {
    final Request request;
    final SimEntry entry;
    final SimRunner runner;
    final double sentMs;
    double startedMs = -1;
    boolean ended;

    Attempt(Request request, SimEntry entry, SimRunner runner, double sentMs) {
        this.request = request;
        this.entry = entry;
        this.runner = runner;
        this.sentMs = sentMs;
    }
}
