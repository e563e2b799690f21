package org.limpetgate.net.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The exchange of a {@link ConnectionPool}.
 * <p>
 * All state other than the answer belongs to the event loop of the pool. The exchange is
 * decided once; whatever arrives later is dropped.
 */
final class PendingExchange implements HttpExchange {

	private final ConnectionPool pool;

	private final HttpCall call;

	private final long number;

	private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

	private volatile boolean upstreamLeaving;

	private boolean decided;

	/** Whether the operating system has taken a byte of the request. */
	private boolean written;

	private ScheduledFuture<?> timeout;

	private ChannelFuture connecting;

	private ClientConnection connection;

	PendingExchange(ConnectionPool pool, HttpCall call, long number) {
		this.pool = pool;
		this.call = call;
		this.number = number;
	}

	void start(long timeoutNanos) {
		try {
			this.pool.loop().execute(() -> serve(timeoutNanos));
		}
		catch (RejectedExecutionException ex) {
			fail(this.pool.shutDown());
		}
	}

	private void serve(long timeoutNanos) {
		if (this.decided) {
			return;
		}
		if (timeoutNanos <= 0) {
			timedOut();
			return;
		}
		this.timeout = this.pool.loop().schedule(this::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
		this.pool.serve(this);
	}

	private void timedOut() {
		abort(ErrorKind.DEADLINE_EXCEEDED, "no whole answer from " + this.pool.address() + " in time");
	}

	@Override
	public void cancel() {
		try {
			this.pool.loop()
				.execute(() -> abort(ErrorKind.CANCELLED,
						"the exchange with " + this.pool.address() + " was cancelled"));
		}
		catch (RejectedExecutionException ex) {
			// The event loop has ended and with it the exchange.
		}
	}

	private void abort(ErrorKind kind, String detail) {
		ClientConnection used = this.connection;
		DispatchException error = errorFor(kind, detail);
		if (!decide()) {
			return;
		}
		// Closing drops bytes that the operating system has not taken, which makes
		// NOT_RUN final before the answer is given.
		if (used != null) {
			used.close();
		}
		else if (this.connecting != null) {
			this.connecting.channel().close();
		}
		settle(error);
	}

	@Override
	public CompletableFuture<HttpReply> reply() {
		return this.reply;
	}

	@Override
	public boolean isUpstreamLeaving() {
		return this.upstreamLeaving;
	}

	HttpCall call() {
		return this.call;
	}

	long number() {
		return this.number;
	}

	boolean isDecided() {
		return this.decided;
	}

	void connecting(ChannelFuture future) {
		this.connecting = future;
	}

	void attach(ClientConnection client) {
		this.connection = client;
	}

	void markWritten() {
		this.written = true;
	}

	boolean isWritten() {
		return this.written;
	}

	void markUpstreamLeaving() {
		this.upstreamLeaving = true;
	}

	/**
	 * Looks for another connection after one was found closed before any byte was written
	 * on it.
	 */
	void serveAgain() {
		this.connection = null;
		this.pool.serve(this);
	}

	/**
	 * Fails with the outcome that follows from what was written.
	 * @param kind the kind of error
	 * @param detail what went wrong
	 */
	void fail(ErrorKind kind, String detail) {
		fail(errorFor(kind, detail));
	}

	void fail(DispatchException error) {
		if (decide()) {
			settle(error);
		}
	}

	private DispatchException errorFor(ErrorKind kind, String detail) {
		return DispatchException.of(kind, this.written ? Outcome.UNKNOWN : Outcome.NOT_RUN, detail);
	}

	private void settle(DispatchException error) {
		this.pool.metrics().exchangeEnded(this.pool.address(), error.outcome());
		this.reply.completeExceptionally(error);
	}

	void complete(HttpReply answer) {
		if (decide()) {
			this.pool.metrics().exchangeEnded(this.pool.address(), Outcome.COMPLETE);
			this.reply.complete(answer);
		}
	}

	private boolean decide() {
		if (this.decided) {
			return false;
		}
		this.decided = true;
		this.connection = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		this.pool.release();
		return true;
	}

}
