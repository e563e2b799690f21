package org.limpetgate.host;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpHandler;
import org.limpetgate.net.http.HttpReply;

/**
 * Serves the operators' endpoint: the operator API, which requires a key, and metrics and
 * health checks, which do not. Thread-safe.
 */
final class OperatorHandler implements HttpHandler {

	private static final Map<String, String> METRICS_TYPE = Map.of("content-type", "text/plain; version=0.0.4");

	private final HttpHandler api;

	private final HostMetrics metrics;

	private final BooleanSupplier ready;

	OperatorHandler(HttpHandler api, HostMetrics metrics, BooleanSupplier ready) {
		this.api = api;
		this.metrics = metrics;
		this.ready = ready;
	}

	@Override
	public CompletableFuture<HttpReply> handle(HttpCall call) {
		if (call.path().startsWith("/operator/")) {
			return this.api.handle(call);
		}
		return switch (call.path()) {
			case "/metrics" -> CompletableFuture.completedFuture(
					new HttpReply(200, METRICS_TYPE, this.metrics.scrape().getBytes(StandardCharsets.UTF_8)));
			case "/health/live" -> CompletableFuture.completedFuture(CallerApi.health(true));
			case "/health/ready" -> CompletableFuture.completedFuture(CallerApi.health(this.ready.getAsBoolean()));
			default -> CompletableFuture.failedFuture(DispatchException.of(ErrorKind.NO_ROUTE, Outcome.NOT_RUN,
					call.path() + " is not a path of the operators' endpoint"));
		};
	}

}
