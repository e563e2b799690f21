package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.sun.net.httpserver.HttpExchange;

/** Writes answers. */
final class Http {

	private Http() {
	}

	static void reply(HttpExchange exchange, int status, String body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		reply(exchange, status, body.getBytes(StandardCharsets.UTF_8));
	}

	static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		if (body.length > 0) {
			exchange.getResponseBody().write(body);
		}
	}

}
