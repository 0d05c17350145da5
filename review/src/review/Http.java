package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 messages for the stand-ins. */
final class Http {

    private Http() {}

    /** A message that was read whole; header names are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 1 << 16);
    }

    /** Reads one message; returns null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = need(line(in)); !line.isEmpty(); line = need(line(in))) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            body = chunks(in);
        } else {
            body = exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
            body.write(exactly(in, size));
            if (size == 0) {
                while (!need(line(in)).isEmpty()) {
                    // trailers are not used
                }
                return body.toByteArray();
            }
            line(in);
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the message is not whole");
        }
        return bytes;
    }

    private static String need(String line) throws IOException {
        if (line == null) {
            throw new EOFException("the message is not whole");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the message is not whole");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
