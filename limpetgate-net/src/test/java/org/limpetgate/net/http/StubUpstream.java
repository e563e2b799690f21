package org.limpetgate.net.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream with scripted responses: one script per connection, in order of arrival;
 * the last script serves all further connections.
 */
final class StubUpstream implements Closeable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final AtomicInteger requests = new AtomicInteger();

	private final Script[] scripts;

	StubUpstream(Script... scripts) throws IOException {
		this.scripts = scripts;
		Thread acceptor = new Thread(this::acceptAll, "stub-upstream");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	private void acceptAll() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				Script script = this.scripts[Math.min(this.sockets.size(), this.scripts.length - 1)];
				this.sockets.add(socket);
				Thread server = new Thread(() -> serve(socket, script), "stub-connection");
				server.setDaemon(true);
				server.start();
			}
		}
		catch (IOException ex) {
			// The listener was closed at the end of the test.
		}
	}

	private void serve(Socket socket, Script script) {
		try (RawConnection connection = RawConnection.of(socket)) {
			script.run(connection, this);
		}
		catch (IOException | InterruptedException ex) {
			// The client closed the connection, which most test cases expect.
		}
	}

	/**
	 * Returns a script that answers each request with the same text.
	 * @param response the complete response
	 * @return the script
	 */
	static Script always(String response) {
		return (connection, stub) -> {
			while (true) {
				stub.read(connection);
				connection.send(response);
			}
		};
	}

	/**
	 * Returns a script that answers one request and closes the connection.
	 * @param response the response
	 * @param closed counted down when the client has closed its side of the connection
	 * @return the script
	 */
	static Script once(String response, CountDownLatch closed) {
		return (connection, stub) -> {
			stub.read(connection);
			connection.send(response);
			connection.socket().shutdownOutput();
			connection.isAtEnd();
			closed.countDown();
		};
	}

	RawConnection.Message read(RawConnection connection) throws IOException {
		RawConnection.Message request = connection.read();
		this.requests.incrementAndGet();
		return request;
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
	}

	int requests() {
		return this.requests.get();
	}

	int connections() {
		return this.sockets.size();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Serves one connection; it is closed when the script returns.
	 */
	interface Script {

		void run(RawConnection connection, StubUpstream stub) throws IOException, InterruptedException;

	}

}
