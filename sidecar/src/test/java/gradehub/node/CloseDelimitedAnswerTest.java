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
 * Answers with neither a length nor chunked coding: a close of the connection ends them (RFC 9112, 6.3), a reset does
 * not. Each end is tested both after all bytes were read and together with unread bytes.
 */
class CloseDelimitedAnswerTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String BODY = "all of it";
    private static final int ANSWER_TIMEOUT_MS = 500; // limit from the first to the last byte of an answer

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

    /** Counts the bytes read from upstreams; discovery sends nothing in these tests. */
    @ChannelHandler.Sharable
    private static final class ReadCounter extends ChannelInboundHandlerAdapter {
        private final AtomicLong bytes = new AtomicLong();

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.addAndGet(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    /** Blocks the event loop directly after the first read from an upstream, before timers that are due. */
    @ChannelHandler.Sharable
    private static final class BlockAfterFirstRead extends ChannelInboundHandlerAdapter {
        private final CountDownLatch blocked = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public void channelReadComplete(ChannelHandlerContext context) throws InterruptedException {
            context.fireChannelReadComplete();
            blocked.countDown();
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
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)), this::counted);
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

    /** Sends a request that may not be retried and returns the upstream's connection once it has read the request. */
    private RawConnection request(RawConnection client, int number) throws IOException {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(number), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        RawConnection.Message sent = up.read();
        assertEquals(SidecarFixture.requestId(number), sent.header("X-Txn"), sent.startLine());
        return up;
    }

    /** Sends an answer whose first part is read separately, and the rest together with the end of the connection. */
    private void answer(RawConnection up, String readBefore, String readWithEnd, End end) throws Throwable {
        sendAndAwaitRead(up, readBefore);
        fixture.whileEventLoopBlocked(() -> end.of(up.send(readWithEnd)));
    }

    private void sendAndAwaitRead(RawConnection up, String part) throws Exception {
        long expected = counter.bytes.get() + part.length();
        up.send(part);
        fixture.awaitOnEventLoop(() -> counter.bytes.get() == expected);
    }

    /** Splits of an answer into the part read before the end of the connection and the part read with it. */
    private static Stream<Arguments> splits() {
        String answer = HEAD + BODY;
        int half = HEAD.length() + BODY.length() / 2;
        return Stream.of(0, HEAD.length() / 2, HEAD.length(), half, answer.length())
                .map(at -> Arguments.of(answer.substring(0, at), answer.substring(at)));
    }

    @ParameterizedTest
    @MethodSource("splits")
    void closeCompletesAnswer(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.CLOSE);
            RawConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals(BODY, answer.body());
        }
    }

    @ParameterizedTest
    @MethodSource("splits")
    void resetAfterLastByteFailsAnswer(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.RESET);
            assertEquals(502, client.read().status());
        }
    }

    /** Polls on the event loop until the end of the upstream's connection is detected. */
    private void awaitConnectionEnd() {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        ReadAheadChannel channel = opened.stream()
                .filter(ReadAheadChannel::isActive)
                .filter(active -> active.remoteAddress().getPort() == upstream.getLocalPort())
                .findFirst()
                .orElseThrow();
        while (!channel.isClosedByPeer()) {
            assertTrue(System.nanoTime() < untilNanos, "end of the connection was not detected in time");
        }
    }

    /** The check for an end takes unread bytes and the end from the socket; a later read must still return both. */
    @ParameterizedTest
    @MethodSource("splits")
    void endCheckPreservesUnreadBytesAndEnd(String readBefore, String unreadPart) throws Throwable {
        for (End end : End.values()) {
            try (RawConnection client = fixture.client()) {
                RawConnection up = request(client, end.ordinal());
                sendAndAwaitRead(up, readBefore);
                AtomicReference<Future<?>> check = new AtomicReference<>();
                fixture.whileEventLoopBlocked(() -> {
                    end.of(up.send(unreadPart));
                    check.set(fixture.sidecar().loop().submit(this::awaitConnectionEnd)); // runs before the next read
                });
                check.get().get();
                assertEquals(end == End.CLOSE ? 200 : 502, client.read().status());
            }
        }
    }

    private static Stream<Arguments> partialAnswers() {
        List<String> parts = List.of("", "HTTP/1.1 200 OK\r\nX-Pa", HEAD, HEAD + BODY.substring(1));
        return parts.stream().flatMap(part -> Stream.of(Arguments.of(part, ""), Arguments.of("", part)));
    }

    @ParameterizedTest
    @MethodSource("partialAnswers")
    void resetWithinAnswerFailsIt(String readBefore, String readWithEnd) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), readBefore, readWithEnd, End.RESET);
            assertEquals(502, client.read().status());
        }
    }

    /** An answer that is not delimited by the close is truncated by it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nX-Pa",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nall of it",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n"
            })
    void closeTruncatesDelimitedAnswer(String part) throws Throwable {
        for (int held = 0; held < 2; held++) {
            try (RawConnection client = fixture.client()) {
                RawConnection up = request(client, held);
                answer(up, held == 0 ? part : "", held == 0 ? "" : part, End.CLOSE);
                assertEquals(502, client.read().status());
            }
        }
    }

    @Test
    void emptyAnswerIsComplete() throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), HEAD, "", End.CLOSE);
            RawConnection.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("", answer.body());
        }
    }

    /** An unsupported transfer coding can't be decoded: the client would get a different body than the upstream sent. */
    @ParameterizedTest
    @ValueSource(strings = {"gzip\r\n\r\nall of it", "gzip, chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n"})
    void unknownTransferCodingFailsAnswer(String codingAndBody) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codingAndBody, End.CLOSE);
            assertEquals(502, client.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n", "identity\r\n\r\nall of it"})
    void knownTransferCodingIsDecoded(String codingAndBody) throws Throwable {
        try (RawConnection client = fixture.client()) {
            answer(request(client, 1), "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codingAndBody, End.CLOSE);
            assertEquals(BODY, client.read().body());
        }
    }

    /** The answer states that the request did not run, so it is retried. */
    @Test
    void rejectionWithoutLengthIsRetried() throws Throwable {
        try (RawConnection client = fixture.client()) {
            String turnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n\r\nfull";
            answer(request(client, 1), "", turnedAway, End.CLOSE);
            RawConnection again = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(1), again.read().header("X-Txn"));
            again.send(SidecarFixture.answer("200 OK", "served"));
            assertEquals("served", client.read().body());
        }
    }

    /** The connection is half closed: a request written to it would be lost. */
    @Test
    void nextRequestUsesAnotherConnection() throws Throwable {
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

    /** The answer timeout is due, but the last byte and the close arrived in time and are still unread. */
    @ParameterizedTest
    @ValueSource(strings = {"", "it"})
    void answerCompletedInTimeDoesNotTimeOut(String unread) throws Throwable {
        BlockAfterFirstRead block = new BlockAfterFirstRead();
        try (SidecarFixture held = new SidecarFixture();
                ServerSocket listener = held.listener()) {
            held.start(SidecarFixture.listOf(SidecarFixture.address(listener)), () -> with(block));
            try (RawConnection client = held.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                RawConnection up = SidecarFixture.accept(listener);
                up.read();
                up.send(HEAD + "all of ");
                block.blocked.await();
                long heldNanos = System.nanoTime();
                up.send(unread).close();
                while (System.nanoTime() - heldNanos < TimeUnit.MILLISECONDS.toNanos(ANSWER_TIMEOUT_MS)) {
                    Thread.onSpinWait();
                }
                block.released.countDown();
                RawConnection.Message answer = client.read();
                assertEquals(200, answer.status());
                assertEquals("all of " + unread, answer.body());
            } finally {
                block.released.countDown();
            }
        }
    }

    /** While the connection is open the answer may be incomplete, so it times out like any other partial answer. */
    @Test
    void unfinishedAnswerTimesOut() throws Throwable {
        try (RawConnection client = fixture.client()) {
            RawConnection up = request(client, 1);
            up.send(HEAD + BODY);
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }
}
