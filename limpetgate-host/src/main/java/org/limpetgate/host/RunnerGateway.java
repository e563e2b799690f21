package org.limpetgate.host;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.config.Upstream;
import org.limpetgate.net.http.HttpClient;
import org.limpetgate.net.http.HttpExchange;
import org.limpetgate.net.http.HttpReply;

/**
 * Sends attempts to runners over HTTP/1.1. Thread-safe.
 */
public final class RunnerGateway implements UpstreamGateway {

	private final HttpClient client;

	/**
	 * Creates a gateway.
	 * @param client performs the HTTP exchanges, not null
	 */
	public RunnerGateway(HttpClient client) {
		this.client = client;
	}

	@Override
	public Exchange start(Upstream upstream, AttemptRequest request) {
		InetSocketAddress address = new InetSocketAddress(upstream.address(), upstream.port());
		return new RunnerExchange(this.client.exchange(address, request.call(), request.timeoutNanos()));
	}

	private record RunnerExchange(HttpExchange exchange) implements Exchange {

		@Override
		public CompletableFuture<HttpReply> answer() {
			return this.exchange.reply();
		}

		@Override
		public boolean isUpstreamLeaving() {
			return this.exchange.isUpstreamLeaving();
		}

		@Override
		public void cancel() {
			this.exchange.cancel();
		}

	}

}
