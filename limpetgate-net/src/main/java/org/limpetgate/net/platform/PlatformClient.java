package org.limpetgate.net.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.ErrorReply;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpClient;
import org.limpetgate.net.http.HttpClientLimits;
import org.limpetgate.net.http.HttpExchange;

/**
 * Sends requests to the platform and reads its responses.
 * <p>
 * A request is never repeated once a byte of it may have been sent. Thread-safe.
 */
final class PlatformClient implements AutoCloseable {

	/**
	 * The time after which an idle connection is closed. It limits the number of open
	 * connections, since there may be thousands of workers.
	 */
	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final HttpClient client;

	private final PlatformClientSettings settings;

	private final ErrorKind errorKind;

	private volatile boolean closed;

	PlatformClient(EventLoopGroup group, PlatformClientSettings settings, ErrorKind errorKind) {
		this.client = HttpClient.of(group, limits(settings));
		this.settings = settings;
		this.errorKind = errorKind;
	}

	private static HttpClientLimits limits(PlatformClientSettings settings) {
		HttpClientLimits defaults = HttpClientLimits.defaults();
		return defaults.withResponseBytes(defaults.maxHeadBytes(), settings.maxResponseBytes())
			.withMaxBufferedBytes(Math.max(defaults.maxBufferedBytes(), settings.maxResponseBytes()))
			.withMaxConnections(settings.maxConnections())
			.withTimeouts(settings.connectTimeout().toNanos(), IDLE_NANOS)
			.withRefusalsAsResponses(true);
	}

	/**
	 * Sends a request. Cancelling the future closes the connection.
	 * @param <T> the type of the content
	 * @param address the address
	 * @param call the request
	 * @param wait the time that the request asks the platform to wait
	 * @param reader reads a response with status 200
	 * @return the content, or a failure with a {@link DispatchException}, not wrapped; if
	 * there is no response, it has the error kind of this client
	 */
	<T> CompletableFuture<T> send(InetSocketAddress address, HttpCall call, Duration wait,
			PlatformReplies.ReplyReader<T> reader) {
		if (this.closed) {
			return CompletableFuture
				.failedFuture(DispatchException.of(this.errorKind, Outcome.NOT_RUN, "the client is closed"));
		}
		long timeoutNanos = this.settings.requestTimeout().plus(wait).toNanos();
		HttpExchange exchange = this.client.exchange(address, call, timeoutNanos);
		CompletableFuture<T> content = new CompletableFuture<>();
		exchange.reply().whenComplete((reply, error) -> {
			if (error != null) {
				content.completeExceptionally(toPlatformError(error));
				return;
			}
			try {
				content.complete(PlatformReplies.read(reply, this.errorKind, reader));
			}
			catch (DispatchException ex) {
				content.completeExceptionally(ex);
			}
		});
		content.whenComplete((value, error) -> {
			if (content.isCancelled()) {
				exchange.cancel();
			}
		});
		return content;
	}

	private DispatchException toPlatformError(Throwable failure) {
		DispatchException error = ErrorReply.toDispatchException(failure);
		// The message contains the remedy of the original kind, which does not apply.
		String detail = error.getMessage().replace("; " + error.kind().remedy(), "");
		return DispatchException.of(this.errorKind, error.outcome(), detail);
	}

	@Override
	public void close() {
		this.closed = true;
		this.client.close();
	}

}
