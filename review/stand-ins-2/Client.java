import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An HTTP request of a client on a connection of its own. */
final class Client {

	/** An answer; status 0 if there was none. */
	record Answer(int status, String body) {

	}

	private Client() {
	}

	static Answer call(InetSocketAddress address, String method, String path, String body, int timeoutMs) {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(address, 1000);
			socket.setSoTimeout(timeoutMs);
			byte[] content = body.getBytes(StandardCharsets.UTF_8);
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + Main.QUEUE_HOST + "\r\nX-Deadline-Ms: " + timeoutMs
					+ "\r\nContent-Type: application/json\r\nContent-Length: " + content.length
					+ "\r\nConnection: close\r\n\r\n";
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
			request.writeBytes(content);
			socket.getOutputStream().write(request.toByteArray());
			return read(socket.getInputStream());
		}
		catch (IOException ex) {
			return new Answer(0, "");
		}
	}

	private static Answer read(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		byte[] buffer = new byte[8192];
		while (true) {
			String text = bytes.toString(StandardCharsets.ISO_8859_1);
			int end = text.indexOf("\r\n\r\n");
			if (end >= 0) {
				int length = 0;
				for (String line : text.substring(0, end).split("\r\n")) {
					if (line.toLowerCase().startsWith("content-length:")) {
						length = Integer.parseInt(line.substring(15).trim());
					}
				}
				if (text.length() >= end + 4 + length) {
					return new Answer(Integer.parseInt(text.split(" ")[1]), text.substring(end + 4, end + 4 + length));
				}
			}
			int count = in.read(buffer);
			if (count < 0) {
				throw new IOException("the connection ended without a complete answer");
			}
			bytes.write(buffer, 0, count);
		}
	}

}
