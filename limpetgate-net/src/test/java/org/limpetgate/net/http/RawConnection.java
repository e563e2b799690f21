package org.limpetgate.net.http;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A blocking connection that sends bytes unchecked, for input that no HTTP client would
 * send.
 */
final class RawConnection implements Closeable {

	/** Fails a test that would hang; no assertion depends on it. */
	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private final Socket socket;

	private final DataInputStream input;

	private RawConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.input = new DataInputStream(socket.getInputStream());
	}

	static RawConnection open(InetSocketAddress address) throws IOException {
		return of(new Socket(address.getAddress(), address.getPort()));
	}

	static RawConnection of(Socket socket) throws IOException {
		return new RawConnection(socket);
	}

	RawConnection send(String text) {
		try {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return this;
	}

	/**
	 * Reads one request or response with a {@code Content-Length}.
	 * @return the message, its first line under the name "first"
	 * @throws IOException if the peer closed before the message was complete
	 */
	Message read() throws IOException {
		Map<String, String> headers = new HashMap<>();
		headers.put("first", readLine());
		for (String line = readLine(); !line.isEmpty(); line = readLine()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		int length = headers.get("first").contains(" 100 ") ? 0
				: Integer.parseInt(headers.getOrDefault("content-length", "0"));
		return new Message(headers, new String(this.input.readNBytes(length), StandardCharsets.UTF_8));
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int c = this.input.readUnsignedByte(); c != '\n'; c = this.input.readUnsignedByte()) {
			line.append((char) c);
		}
		return line.toString().strip();
	}

	boolean isAtEnd() throws IOException {
		return this.input.read() < 0;
	}

	Socket socket() {
		return this.socket;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * A message.
	 *
	 * @param headers the headers, names in lower case
	 * @param body the body
	 */
	record Message(Map<String, String> headers, String body) {

		int status() {
			return Integer.parseInt(this.headers.get("first").split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

}
