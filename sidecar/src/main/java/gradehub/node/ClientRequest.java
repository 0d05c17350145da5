package gradehub.node;

import gradehub.Balancer.Effect;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;

/** A validated client request; {@code headers} are those forwarded to an upstream. */
record ClientRequest(
        String id,
        int requestClass,
        int tenant,
        double remainingMs,
        boolean repeat,
        double costMs,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body) {

    static final String ID = "X-Txn";
    static final String REMAINING_MS = "X-Remaining-Ms";
    static final String CLASS = "X-Lane";
    static final String TENANT = "X-Org";
    private static final String REPEAT = "X-Resent";
    static final String ESTIMATE_US = "X-Estimate";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int ID_DIGITS = 16;
    private static final int MAX_NUMBER_DIGITS = 15;
    /** Not forwarded: they apply to one connection, or are set anew for the upstream. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.EXPECT,
            REMAINING_MS);

    /** A request that is not forwarded to any upstream, but answered with this status. */
    static class RejectedException extends Exception {

        private static final long serialVersionUID = 1L;

        final transient HttpResponseStatus status;

        RejectedException(HttpResponseStatus status, String message) {
            super(message);
            this.status = status;
        }
    }

    static ClientRequest of(FullHttpRequest message, Settings settings) throws RejectedException {
        HttpHeaders headers = message.headers();
        String id = headers.get(ID);
        if (!isId(id)) {
            throw badRequest(ID + " is missing, or not " + ID_DIGITS + " hexadecimal digits");
        }
        int requestClass = requestClass(message, settings);
        RequestClass spec = settings.classes().get(requestClass);
        checkMethod(message, spec);
        double remainingMs = Math.min(number(headers, REMAINING_MS, spec.deadlineMs()), spec.deadlineMs());
        double costMs = Math.min(number(headers, ESTIMATE_US, 0) / 1000, spec.deadlineMs());
        return new ClientRequest(
                id,
                requestClass,
                tenant(headers.get(TENANT), settings),
                remainingMs,
                "1".equals(headers.get(REPEAT)),
                costMs,
                message.method(),
                message.uri(),
                forwardedHeaders(headers),
                ByteBufUtil.getBytes(message.content()));
    }

    /** Whether this is a valid identifier; {@code id} may be null. */
    static boolean isId(String id) {
        return id != null && id.length() == ID_DIGITS && id.chars().allMatch(c -> Character.digit(c, 16) >= 0);
    }

    static String firstPathSegment(String uri) {
        int start = uri.startsWith("/") ? 1 : 0;
        int end = start;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(start, end);
    }

    private static int requestClass(FullHttpRequest message, Settings settings) throws RejectedException {
        String pathClass = firstPathSegment(message.uri());
        String name = message.headers().get(CLASS, pathClass);
        for (int i = 0; i < settings.classes().size(); i++) {
            if (settings.classes().get(i).name().equals(name)) {
                if (!name.equals(pathClass)) {
                    throw badRequest(CLASS + " and the path name different classes");
                }
                return i;
            }
        }
        throw new RejectedException(HttpResponseStatus.NOT_FOUND, "no such class");
    }

    /** The method must match the effect of the class: a method of weaker effect would invite repeats of the request. */
    private static void checkMethod(FullHttpRequest message, RequestClass spec) throws RejectedException {
        HttpMethod expected = spec.effect() == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!message.method().equals(expected)) {
            throw new RejectedException(HttpResponseStatus.METHOD_NOT_ALLOWED, spec.name() + " wants " + expected);
        }
        if (spec.effect() == Effect.SAFE && message.content().isReadable()) {
            throw badRequest(expected + " has no body");
        }
        if (spec.effect() == Effect.KEYED && !message.headers().contains(IDEMPOTENCY_KEY)) {
            throw badRequest(IDEMPOTENCY_KEY + " is missing");
        }
    }

    private static int tenant(String name, Settings settings) {
        for (int i = 0; i < settings.tenants().size(); i++) {
            if (settings.tenants().get(i).name().equals(name)) {
                return i;
            }
        }
        return 0;
    }

    private static double number(HttpHeaders headers, String name, double defaultValue) throws RejectedException {
        String value = headers.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value.isEmpty()
                || value.length() > MAX_NUMBER_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw badRequest(name + " is no whole number");
        }
        return Long.parseLong(value);
    }

    private static HttpHeaders forwardedHeaders(HttpHeaders headers) {
        HttpHeaders copy = headers.copy();
        headers.getAllAsString(HttpHeaderNames.CONNECTION).forEach(line -> {
            for (String name : line.split(",")) {
                if (!name.isBlank()) {
                    copy.remove(name.trim());
                }
            }
        });
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    private static RejectedException badRequest(String message) {
        return new RejectedException(HttpResponseStatus.BAD_REQUEST, message);
    }
}
