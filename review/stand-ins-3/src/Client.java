import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client of the system: one request on a connection of its own. */
final class Client {

	private Client() {
	}

	/** Returns the status and the body; the status is 0 if there was no complete answer in time. */
	static Answer send(Fleet.Host host, String method, String path, String body, long deadlineMillis) {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(host.address, host.callerPort), 1000);
			socket.setSoTimeout((int) deadlineMillis);
			byte[] content = body.getBytes(StandardCharsets.UTF_8);
			String head = method + " " + path + " HTTP/1.1\r\nHost: nony24.example\r\nConnection: close\r\nX-Deadline-Ms: "
					+ deadlineMillis + "\r\n"
					+ ((content.length > 0)
							? "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n" : "")
					+ "\r\n";
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
			request.writeBytes(content);
			socket.getOutputStream().write(request.toByteArray());
			InputStream in = socket.getInputStream();
			byte[] all = in.readAllBytes();
			String text = new String(all, StandardCharsets.UTF_8);
			int end = text.indexOf("\r\n\r\n");
			if (end < 0) {
				return new Answer(0, "");
			}
			return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(0, "");
		}
	}

	record Answer(int status, String body) {

		String state() {
			try {
				return Json.text(Json.object(this.body.getBytes(StandardCharsets.UTF_8)), "state");
			}
			catch (RuntimeException ex) {
				return "";
			}
		}

		long number(String field) {
			try {
				Map<String, Object> object = Json.object(this.body.getBytes(StandardCharsets.UTF_8));
				return object.containsKey(field) ? Json.number(object, field) : -1;
			}
			catch (RuntimeException ex) {
				return -1;
			}
		}

	}

}
