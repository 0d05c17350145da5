package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Peers that send a request a byte at a time and never end it. */
class SlowPeersTest {

    /** A peer is owed an error or a close within this time of connecting. */
    private static final long OWED_MS = 3000;
    /** Time between two bytes of a slow peer. */
    private static final int BYTE_EVERY_MS = 100;

    private static final String CHUNKED = SidecarFixture.postRequest(SidecarFixture.requestId(1), "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");

    private SidecarFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        fixture.start(SidecarFixture.list(
                1, true, SidecarFixture.member("u1", SidecarFixture.address(fixture.listener()), "active")));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Guards against review case 2: each byte of a head put off the time limit of its request. */
    @ParameterizedTest
    @ValueSource(strings = {"request line", "header", "body", "chunk size", "chunk", "trailer", "blank lines"})
    void requestThatNeverEndsIsEnded(String place) throws Exception {
        long beganNanos = System.nanoTime();
        try (RawConnection peer = fixture.client()) {
            peer.setReadTimeoutMs(BYTE_EVERY_MS);
            peer.send(beginning(place));
            while (!isEnded(peer)) {
                assertTrue(elapsedMs(beganNanos) <= OWED_MS, "no error and no close within 3 s");
                peer.send(place.equals("blank lines") ? "\r\n" : "0");
            }
        }
    }

    private static String beginning(String place) {
        return switch (place) {
            case "request line" -> "GET /window-read/";
            case "header" -> "GET /window-read HTTP/1.1\r\nX-Labels: ";
            case "body" ->
                SidecarFixture.postRequest(SidecarFixture.requestId(1), "").replace("th: 0", "th: 9999");
            case "chunk size" -> CHUNKED;
            case "chunk" -> CHUNKED + "fff\r\n";
            case "trailer" -> CHUNKED + "0\r\nX-Trailer: ";
            default -> "\r\n";
        };
    }

    private static boolean isEnded(RawConnection peer) throws IOException {
        try {
            assertEquals(4, peer.read().status() / 100);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    private static long elapsedMs(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }
}
