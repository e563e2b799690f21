package org.limpetgate.net.http;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * An exchange on a connection of a {@link ConnectionPool}.
 * <p>
 * All state other than the reply is confined to the event loop of the pool. The exchange
 * completes or fails once; later results are ignored.
 */
final class PendingExchange implements HttpExchange, ConnectionRequest {

	private final ConnectionPool pool;

	private final HttpCall call;

	/** Null if neither the request nor its response has to do with the identity. */
	private final IdentityCheck identityCheck;

	/** Whether the request may be sent only to the expected identity. */
	private final boolean bound;

	private final long number;

	private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

	private volatile boolean upstreamLeaving;

	private volatile OptionalLong otherIdentity = OptionalLong.empty();

	private boolean done;

	/** Whether the operating system has accepted a byte of the request. */
	private boolean written;

	private ScheduledFuture<?> timeout;

	private ChannelFuture connecting;

	private ClientConnection connection;

	PendingExchange(ConnectionPool pool, HttpCall call, IdentityCheck identityCheck, boolean bound, long number) {
		this.pool = pool;
		this.call = call;
		this.identityCheck = identityCheck;
		this.bound = bound;
		this.number = number;
	}

	void start(long timeoutNanos) {
		try {
			this.pool.loop().execute(() -> startOnLoop(timeoutNanos));
		}
		catch (RejectedExecutionException ex) {
			fail(this.pool.shutDownError());
		}
	}

	private void startOnLoop(long timeoutNanos) {
		if (this.done) {
			return;
		}
		if (timeoutNanos <= 0) {
			timedOut();
			return;
		}
		this.timeout = this.pool.loop().schedule(this::timedOut, timeoutNanos, TimeUnit.NANOSECONDS);
		this.pool.assignConnection(this);
	}

	private void timedOut() {
		abort(ErrorKind.DEADLINE_EXCEEDED, "no complete response from " + this.pool.address() + " in time");
	}

	@Override
	public void cancel() {
		try {
			this.pool.loop()
				.execute(() -> abort(ErrorKind.CANCELLED,
						"the exchange with " + this.pool.address() + " was cancelled"));
		}
		catch (RejectedExecutionException ex) {
			// The event loop has ended, which ended the exchange.
		}
	}

	private void abort(ErrorKind kind, String detail) {
		ClientConnection activeConnection = this.connection;
		DispatchException error = errorFor(kind, detail);
		if (!markDone()) {
			return;
		}
		// Closing discards bytes that the operating system has not accepted, so that
		// NOT_RUN is certain before the reply fails.
		if (activeConnection != null) {
			activeConnection.close();
		}
		else if (this.connecting != null) {
			this.connecting.channel().close();
		}
		failReply(error);
	}

	@Override
	public CompletableFuture<HttpReply> reply() {
		return this.reply;
	}

	@Override
	public boolean isUpstreamLeaving() {
		return this.upstreamLeaving;
	}

	@Override
	public OptionalLong otherIdentity() {
		return this.otherIdentity;
	}

	@Override
	public HttpCall call() {
		return this.call;
	}

	@Override
	public long number() {
		return this.number;
	}

	/**
	 * Returns the number of the request that asks for the identity, which differs from
	 * those of all exchanges.
	 * @return the number
	 */
	long checkNumber() {
		return this.number - 1;
	}

	/**
	 * Returns the check.
	 * @return the check, null for none
	 */
	IdentityCheck identityCheck() {
		return this.identityCheck;
	}

	boolean isBound() {
		return this.bound;
	}

	@Override
	public OptionalLong identity(HttpReply response) {
		if (this.identityCheck == null) {
			return OptionalLong.empty();
		}
		try {
			return this.identityCheck.identity(response);
		}
		catch (RuntimeException ex) {
			// The receiver of the response finds that it cannot be read.
			return OptionalLong.empty();
		}
	}

	@Override
	public boolean isDone() {
		return this.done;
	}

	void connecting(ChannelFuture future) {
		this.connecting = future;
	}

	@Override
	public void attach(ClientConnection client) {
		this.connection = client;
	}

	@Override
	public void markWritten() {
		this.written = true;
	}

	@Override
	public boolean isWritten() {
		return this.written;
	}

	@Override
	public void markUpstreamLeaving() {
		this.upstreamLeaving = true;
	}

	@Override
	public void retryOnAnotherConnection() {
		this.connection = null;
		this.pool.assignConnection(this);
	}

	/**
	 * Fails the exchange as {@link Outcome#UNKNOWN} if a byte was written, else as
	 * {@link Outcome#NOT_RUN}.
	 * @param kind the kind of error
	 * @param detail what went wrong
	 */
	@Override
	public void fail(ErrorKind kind, String detail) {
		fail(errorFor(kind, detail));
	}

	/**
	 * Fails the exchange, which was not sent, because another identity than the expected
	 * one answered the check.
	 * @param identity the identity that answered
	 */
	void failWithOtherIdentity(OptionalLong identity) {
		if (this.done) {
			return;
		}
		this.otherIdentity = identity;
		fail(ErrorKind.UPSTREAM_FAILED, "the upstream " + this.pool.address() + " has the identity "
				+ identity.getAsLong() + " instead of " + this.identityCheck.expectedIdentity());
	}

	@Override
	public void fail(DispatchException error) {
		if (markDone()) {
			failReply(error);
		}
	}

	private DispatchException errorFor(ErrorKind kind, String detail) {
		return DispatchException.of(kind, this.written ? Outcome.UNKNOWN : Outcome.NOT_RUN, detail);
	}

	private void failReply(DispatchException error) {
		this.pool.metrics().exchangeEnded(this.pool.address(), error.outcome());
		this.reply.completeExceptionally(error);
	}

	@Override
	public void complete(HttpReply response) {
		if (markDone()) {
			this.pool.metrics().exchangeEnded(this.pool.address(), Outcome.COMPLETE);
			this.reply.complete(response);
		}
	}

	private boolean markDone() {
		if (this.done) {
			return false;
		}
		this.done = true;
		this.connection = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		this.pool.release();
		return true;
	}

}
