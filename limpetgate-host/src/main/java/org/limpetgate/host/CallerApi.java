package org.limpetgate.host;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpHandler;
import org.limpetgate.net.http.HttpReply;

/**
 * The HTTP API for callers: submissions, tickets and health checks. All other paths are
 * single requests.
 * <p>
 * The paths {@code /v1/submissions}, {@code /v1/tickets} and {@code /health/} are
 * reserved; routes cannot match them. Thread-safe.
 */
public final class CallerApi implements HttpHandler {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final HttpHandler submissions;

	private final HttpHandler requests;

	private final BooleanSupplier ready;

	/**
	 * Creates a handler.
	 * @param submissions serves submissions and tickets, not null
	 * @param requests serves single requests, not null
	 * @param ready tells whether the load balancer may send requests; thread-safe, not
	 * null
	 */
	public CallerApi(HttpHandler submissions, HttpHandler requests, BooleanSupplier ready) {
		this.submissions = submissions;
		this.requests = requests;
		this.ready = ready;
	}

	@Override
	public CompletableFuture<HttpReply> handle(HttpCall call) {
		String path = call.path();
		if (path.equals("/health/live")) {
			return CompletableFuture.completedFuture(health(true));
		}
		if (path.equals("/health/ready")) {
			return CompletableFuture.completedFuture(health(this.ready.getAsBoolean()));
		}
		if (path.equals("/v1/submissions") || path.startsWith("/v1/submissions/") || path.equals("/v1/tickets")) {
			return this.submissions.handle(call);
		}
		return this.requests.handle(call);
	}

	/**
	 * Returns the answer to a health check.
	 * @param healthy whether the check passes
	 * @return the answer, not null
	 */
	public static HttpReply health(boolean healthy) {
		byte[] body = (healthy ? "ok\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
		return new HttpReply(healthy ? OK : UNAVAILABLE, Map.of("content-type", "text/plain"), body);
	}

}
