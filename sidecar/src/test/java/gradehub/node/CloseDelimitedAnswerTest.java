package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers with neither a length nor chunks: the close of the connection is their end (RFC 9112, 6.3), a reset is not.
 * Each ends both behind what has been read already and together with bytes that have not.
 */
class CloseDelimitedAnswerTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String BODY = "all of it";
    private static final int ANSWER_MS = 500; // that an answer has from its first byte to its last

    /** How a peer ends its connection. */
    private enum End {
        CLOSE {
            @Override
            void of(RawConnection connection) throws IOException {
                connection.close();
            }
        },
        RESET {
            @Override
            void of(RawConnection connection) throws IOException {
                connection.reset();
            }
        };

        abstract void of(RawConnection connection) throws IOException;
    }

    /** Counts what the event loop has read from upstreams: discovery says nothing in these tests. */
    @ChannelHandler.Sharable
    private static final class ReadCounter extends ChannelInboundHandlerAdapter {
        private final AtomicLong bytes = new AtomicLong();

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.addAndGet(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    /** Holds the event loop right behind the first read from an upstream, before any timer that has become due. */
    @ChannelHandler.Sharable
    private static final class HoldBehindFirstRead extends ChannelInboundHandlerAdapter {
        private final CountDownLatch holds = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void channelReadComplete(ChannelHandlerContext context) throws InterruptedException {
            context.fireChannelReadComplete();
            holds.countDown();
            released.await();
        }
    }

    private final ReadCounter counter = new ReadCounter();
    private final List<ReadAheadChannel> opened = new CopyOnWriteArrayList<>();
    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                this::counted);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private ReadAheadChannel counted() {
        ReadAheadChannel channel = with(counter);
        opened.add(channel);
        return channel;
    }

    private static ReadAheadChannel with(ChannelHandler handler) {
        ReadAheadChannel channel = new ReadAheadChannel();
        channel.pipeline().addFirst(handler);
        return channel;
    }

    /** Sends a request that may not be repeated, and returns the upstream's end once that has read it. */
    private RawConnection request(RawConnection client, int number) throws IOException {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(number), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        RawConnection.Message sent = up.read();
        assertEquals(SidecarFixture.requestId(number), sent.header("X-Txn"), sent.startLine());
        return up;
    }

    /** The first part is read on its own, the rest in one go with the connection's end. */
    private void answer(RawConnection up, String readBefore, String readWithEnd, End end) throws Throwable {
        sendAndAwaitRead(up, readBefore);
        fixture.whileEventLoopBlocked(() -> end.of(up.send(readWithEnd)));
    }

    private void sendAndAwaitRead(RawConnection up, String part) throws Exception {
        long expected = counter.bytes.get() + part.length();
        up.send(part);
        fixture.awaitOnEventLoop(() -> counter.bytes.get() == expected);
    }

    /** Each way to divide an answer into what is read before its end, and with it. */
    private static Stream<Arguments> divisions() {
        String answer = HEAD + BODY;
        int half = HEAD.length() + BODY.length() / 2;
        return Stream.of(0, HEAD.length() / 2, HEAD.length(), half, answer.length())
                .map(at -> Arguments.of(answer.substring(0, at), answer.substring(at)));
    }

    @ParameterizedTest
    @MethodSource("divisions")
    void aCloseEndsTheAnswer(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.CLOSE);
            RawConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals(BODY, answer.body());
        }
    }

    @ParameterizedTest
    @MethodSource("divisions")
    void aResetBehindTheLastByteIsNoEnd(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.RESET);
            assertEquals(502, client.read().status());
        }
    }

    /** Looks, on the event loop, until the end of the upstream's connection has been seen. */
    private void lookForTheEnd() {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        ReadAheadChannel channel = opened.stream()
                .filter(ReadAheadChannel::isActive)
                .filter(active -> active.remoteAddress().getPort() == upstream.getLocalPort())
                .findFirst()
                .orElseThrow();
        while (!channel.isClosedByPeer()) {
            assertTrue(System.nanoTime() < untilNanos, "it never ended");
        }
    }

    /** A look takes the unread bytes and the end behind them from the socket: a read finds both, and which end. */
    @ParameterizedTest
    @MethodSource("divisions")
    void aLookHidesNoEnd(String readBefore, String lookedAt) throws Throwable {
        for (End end : End.values()) {
            try (RawConnection client = fixture.client()) {
                RawConnection up = request(client, end.ordinal());
                sendAndAwaitRead(up, readBefore);
                AtomicReference<Future<?>> look = new AtomicReference<>();
                fixture.whileEventLoopBlocked(() -> {
                    end.of(up.send(lookedAt));
                    look.set(fixture.sidecar().loop().submit(this::lookForTheEnd)); // before the loop reads again
                });
                look.get().get();
                assertEquals(end == End.CLOSE ? 200 : 502, client.read().status());
            }
        }
    }

    private static Stream<Arguments> partsOfAnAnswer() {
        List<String> parts = List.of("", "HTTP/1.1 200 OK\r\nX-Pa", HEAD, HEAD + BODY.substring(1));
        return parts.stream().flatMap(part -> Stream.of(Arguments.of(part, ""), Arguments.of("", part)));
    }

    @ParameterizedTest
    @MethodSource("partsOfAnAnswer")
    void aResetOnTheWayIsNoEnd(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.RESET);
            assertEquals(502, client.read().status());
        }
    }

    /** What is not delimited by the close is cut short by one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nX-Pa",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nall of it",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n"
            })
    void aCloseEndsNoOtherAnswer(String part) throws Throwable {
        for (int held = 0; held < 2; held++) {
            try (RawConnection client = fixture.client()) {
                RawConnection up = request(client, held);
                answer(up, held == 0 ? part : "", held == 0 ? "" : part, End.CLOSE);
                assertEquals(502, client.read().status());
            }
        }
    }

    @Test
    void anEmptyAnswerIsWholeAsWell() throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), HEAD, "", End.CLOSE);
            RawConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("", answer.body());
        }
    }

    /** What was made of the body can't be undone: the client would get something else than the upstream's answer. */
    @ParameterizedTest
    @ValueSource(strings = {"gzip\r\n\r\nall of it", "gzip, chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n"})
    void anAnswerInAnUnknownCodingCannotBeRead(String codingAndBody) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codingAndBody, End.CLOSE);
            assertEquals(502, client.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n", "identity\r\n\r\nall of it"})
    void anAnswerInAKnownCodingIsRead(String codingAndBody) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codingAndBody, End.CLOSE);
            assertEquals(BODY, client.read().body());
        }
    }

    /** It says that nothing ran, and is believed: the request goes out again. */
    @Test
    void aRequestThatIsTurnedAwayWithoutALengthIsSentAgain() throws Throwable {
        try (RawConnection client = fixture.client()) {
            String turnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n\r\nfull";
            answer(request(client, 1), "", turnedAway, End.CLOSE);
            RawConnection again = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(1), again.read().header("X-Txn"));
            again.send(SidecarFixture.answer("200 OK", "served"));
            assertEquals("served", client.read().body());
        }
    }

    /** Its connection has ended one way only so far: what is written to it would be lost. */
    @Test
    void theNextRequestGoesOverAnotherConnection() throws Throwable {
        try (RawConnection client = fixture.client()) {
            RawConnection first = request(client, 1);
            answer(first, HEAD, BODY, End.CLOSE);
            assertEquals(BODY, client.read().body());
            fixture.awaitIdleUpstreams();
            RawConnection second = request(client, 2);
            second.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
        }
    }

    /** The timer that gives it up is due, but its last byte and its end have come in time: they lie unread. */
    @ParameterizedTest
    @ValueSource(strings = {"", "it"})
    void anAnswerThatHasEndedInTimeIsNotGivenUp(String unread) throws Throwable {
        HoldBehindFirstRead hold = new HoldBehindFirstRead();
        try (SidecarFixture held = new SidecarFixture();
                ServerSocket listener = held.listener()) {
            held.start(
                    SidecarFixture.list(
                            1, true, SidecarFixture.member("u1", SidecarFixture.address(listener), "active")),
                    () -> with(hold));
            try (RawConnection client = held.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                RawConnection up = SidecarFixture.accept(listener);
                up.read();
                up.send(HEAD + "all of ");
                hold.holds.await();
                long heldNanos = System.nanoTime();
                up.send(unread).close();
                while (System.nanoTime() - heldNanos < TimeUnit.MILLISECONDS.toNanos(ANSWER_MS)) {
                    Thread.onSpinWait();
                }
                hold.released.countDown();
                RawConnection.Message answer = client.read();
                assertEquals(200, answer.status());
                assertEquals("all of " + unread, answer.body());
            } finally {
                hold.released.countDown();
            }
        }
    }

    /** While the connection stays open nothing tells whether more is to come: it is given up as any other in part. */
    @Test
    void anAnswerThatIsNeverEndedIsNotWaitedFor() throws Throwable {
        try (RawConnection client = fixture.client()) {
            RawConnection up = request(client, 1);
            up.send(HEAD + BODY);
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }
}
