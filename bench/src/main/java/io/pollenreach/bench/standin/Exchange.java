package io.pollenreach.bench.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.pollenreach.internal.json.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** One HTTP call at a stand-in, with what is needed to answer it well or badly. Belongs to one Ratpack execution. */
final class Exchange {
    private static final String JSON = "application/json";
    private static final long SILENCE_MS = 30_000;

    private final Context ctx;
    private final List<String> segments;

    Exchange(Context ctx) {
        this.ctx = ctx;
        String path = ctx.getRequest().getRawUri().split("\\?", 2)[0];
        segments = Arrays.stream(path.substring(1).split("/", -1))
                .map(Exchange::decode)
                .collect(Collectors.toList());
    }

    String method() {
        return ctx.getRequest().getMethod().getName();
    }

    int size() {
        return segments.size();
    }

    /** Returns a segment of the path, or an empty text past its end. */
    String segment(int i) {
        return i < segments.size() ? segments.get(i) : "";
    }

    /** Returns the rest of the path from a segment on. */
    String rest(int from) {
        return String.join("/", segments.subList(Math.min(from, segments.size()), segments.size()));
    }

    String query(String name, String otherwise) {
        return ctx.getRequest().getQueryParams().getOrDefault(name, otherwise);
    }

    String header(String name) {
        String value = ctx.getRequest().getHeaders().get(name);
        return value == null ? "" : value;
    }

    void setHeader(String name, String value) {
        ctx.getResponse().getHeaders().set(name, value);
    }

    Promise<byte[]> body() {
        return ctx.getRequest().getBody().map(d -> d.getBytes());
    }

    /** Parses a body; one that can't be read is an {@link IllegalArgumentException}. */
    static <T> T parse(byte[] body, Class<T> type) {
        try {
            return Json.lenient().readValue(body, type);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    void answer(int status, Object body) throws IOException {
        ctx.getResponse().status(status).contentType(JSON).send(Json.lenient().writeValueAsBytes(body));
    }

    void answer(int status) {
        ctx.getResponse().status(status).send();
    }

    void answerBytes(byte[] body) {
        ctx.getResponse().contentType("application/octet-stream").send(body);
    }

    void answerText(int status, String text) {
        ctx.getResponse().status(status).send("text/plain", text);
    }

    /** Closes the connection without an answer. */
    void close() {
        ctx.getDirectChannelAccess().getChannel().close();
    }

    /** Gives no answer, and closes the connection after a long time. */
    void keepSilent() {
        Promise.value(this).defer(Duration.ofMillis(SILENCE_MS)).then(Exchange::close);
    }

    /** Sends the head and half of the body, then closes the connection. */
    void cut(Object body) throws IOException {
        byte[] whole = Json.lenient().writeValueAsBytes(body);
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, JSON).set(HttpHeaderNames.CONTENT_LENGTH, whole.length);
        Channel channel = ctx.getDirectChannelAccess().getChannel();
        channel.write(head);
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(whole, 0, whole.length / 2)))
                .addListener(f -> channel.close());
    }

    private static String decode(String segment) {
        return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
