import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP/1.1 server on a loopback address. */
final class Server {

	static final ExecutorService THREADS = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	Server(String address, int port, Handler handler) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(address, port), 256);
		this.server.setExecutor(THREADS);
		this.server.createContext("/", (exchange) -> {
			byte[] body = exchange.getRequestBody().readAllBytes();
			try {
				Reply reply = handler.handle(exchange, body);
				if (reply == null) {
					// No answer: the connection stays open and nothing is sent.
					return;
				}
				exchange.getResponseHeaders().set("Content-Type", reply.type);
				exchange.sendResponseHeaders(reply.status, (reply.body.length == 0) ? -1 : reply.body.length);
				try (OutputStream out = exchange.getResponseBody()) {
					out.write(reply.body);
				}
			}
			catch (RuntimeException | InterruptedException ex) {
				ex.printStackTrace();
				exchange.close();
			}
		});
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Closes the listener and all connections at once. */
	void stop() {
		this.server.stop(0);
	}

	interface Handler {

		Reply handle(HttpExchange exchange, byte[] body) throws IOException, InterruptedException;

	}

	record Reply(int status, String type, byte[] body) {

		static Reply json(int status, String json) {
			return new Reply(status, "application/json", json.getBytes(java.nio.charset.StandardCharsets.UTF_8));
		}

	}

}
