package org.limpetgate.net.http;

import java.net.URI;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that a {@link ServerConnection} is receiving: its head, and as much of its
 * body as has arrived.
 * <p>
 * Invariant: what it has reserved in the budget is released, or detached by the
 * connection, exactly once. Not thread-safe; used on the event loop of the connection.
 */
final class IncomingRequest {

	private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._~!$&'()*+;=%:\\[\\]-]*");

	/** The memory of a request and its header map, without the characters. */
	private static final int REQUEST_OVERHEAD_BYTES = 512;

	private final HttpRequest head;

	private final BodyBuffer body;

	/**
	 * Creates a request without a body and without a reservation.
	 * @param head the head, without a {@link #fault}
	 * @param budget the budget of all buffered messages
	 * @param maxBodyBytes the limit of the body
	 */
	IncomingRequest(HttpRequest head, BufferBudget budget, long maxBodyBytes) {
		this.head = head;
		this.body = new BodyBuffer(budget, maxBodyBytes);
	}

	/**
	 * Validates a head that was decoded.
	 * @param head the head
	 * @return what is wrong, or null
	 */
	static String fault(HttpRequest head) {
		String framing = Headers.framingFault(head.headers());
		if (framing != null) {
			return framing;
		}
		var hosts = head.headers().getAll(HttpHeaderNames.HOST);
		if (hosts.size() != 1) {
			return "the head must have exactly one Host header";
		}
		if (!HOST.matcher(hosts.get(0)).matches()) {
			return "the Host header has a character that is not allowed";
		}
		if (head.headers()
			.getAll(HttpHeaderNames.EXPECT)
			.stream()
			.anyMatch((e) -> !e.equalsIgnoreCase("100-continue"))) {
			return "Expect has a value other than 100-continue";
		}
		return targetFault(head.method(), head.uri());
	}

	private static String targetFault(HttpMethod method, String target) {
		if (target.startsWith("/") || (target.equals("*") && method.equals(HttpMethod.OPTIONS))) {
			return null;
		}
		return isAbsolute(target) ? null : "the request target is neither a path nor an http URL";
	}

	private static boolean isAbsolute(String target) {
		try {
			return target.startsWith("http://") && URI.create(target).getHost() != null;
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	/**
	 * Reserves the memory of the head.
	 * @return false if the limit for all messages is reached
	 */
	boolean reserveHead() {
		return this.body.reserve(headBytes());
	}

	private long headBytes() {
		long bytes = REQUEST_OVERHEAD_BYTES + this.head.uri().length();
		for (Map.Entry<String, String> header : this.head.headers()) {
			bytes += header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	BodyBuffer.Result append(ByteBuf content) {
		return this.body.append(content);
	}

	boolean keepAlive() {
		return !Headers.hasConnectionOption(this.head.headers(), "close");
	}

	HttpCall toCall() {
		Map<String, String> headers = Headers.toMap(this.head.headers());
		String target = this.head.uri();
		if (target.startsWith("http://")) {
			// RFC 9112, 3.2.2: the authority of the target replaces the Host header.
			URI uri = URI.create(target);
			headers.put("host", uri.getRawAuthority());
			String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
			target = (uri.getRawQuery() != null) ? path + "?" + uri.getRawQuery() : path;
		}
		return new HttpCall(this.head.method().name(), target, headers, this.body.toByteArray());
	}

	// Passes the reservation to the calling method, which must release it.
	long detachReservation() {
		return this.body.detachReservation();
	}

	void release() {
		this.body.release();
	}

}
