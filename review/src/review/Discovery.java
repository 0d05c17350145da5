package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Discovery: answers a call with the whole list; a watch gets the list, and then an empty line every 2 s. */
final class Discovery implements AutoCloseable {

    private final Record record;
    private final ServerSocket listener;
    private final Supplier<String> list;

    Discovery(Record record, Supplier<String> list) throws IOException {
        this.record = record;
        this.list = list;
        listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Rig.thread("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Rig.thread("call to discovery", () -> serve(socket));
            }
        } catch (IOException e) {
            // closed at the end of the test
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                record.line("discovery got " + call.firstLine());
                String lines = list.get() + "\n";
                if (!call.path().contains("watch=1")) {
                    out.write(Upstream.answer("200 OK", "Content-Type: application/json\r\n", lines));
                    continue;
                }
                out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    out.write((Integer.toHexString(lines.length()) + "\r\n" + lines + "\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    lines = "\n";
                    Thread.sleep(2000);
                }
            }
        } catch (IOException e) {
            // the sidecar closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
