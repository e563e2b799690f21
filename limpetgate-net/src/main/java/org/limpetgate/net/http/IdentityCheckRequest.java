package org.limpetgate.net.http;

import java.util.OptionalLong;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The request of an {@link IdentityCheck} on a connection whose identity is not known.
 * <p>
 * Until it is answered, the request of its exchange is not written, so that each failure
 * of the check fails the exchange as {@link Outcome#NOT_RUN}. Confined to the event loop
 * of the pool.
 */
final class IdentityCheckRequest implements ConnectionRequest {

	private final ClientConnection connection;

	private final PendingExchange exchange;

	private final IdentityCheck check;

	private HttpCall call;

	/** Whether the operating system has accepted a byte of the check's request. */
	private boolean written;

	IdentityCheckRequest(ClientConnection connection, PendingExchange exchange) {
		this.connection = connection;
		this.exchange = exchange;
		this.check = exchange.identityCheck();
	}

	@Override
	public HttpCall call() {
		if (this.call == null) {
			this.call = this.check.call();
		}
		return this.call;
	}

	@Override
	public long number() {
		return this.exchange.checkNumber();
	}

	@Override
	public boolean isDone() {
		return this.exchange.isDone();
	}

	@Override
	public void attach(ClientConnection client) {
		this.exchange.attach(client);
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
		this.exchange.markUpstreamLeaving();
	}

	@Override
	public void retryOnAnotherConnection() {
		this.exchange.retryOnAnotherConnection();
	}

	// The identity is set when the check completes, which tells a refusal apart.
	@Override
	public OptionalLong identity(HttpReply response) {
		return OptionalLong.empty();
	}

	@Override
	public void complete(HttpReply response) {
		OptionalLong identity;
		try {
			identity = this.check.identity(response);
		}
		catch (RuntimeException ex) {
			this.exchange.fail(DispatchException.of(ErrorKind.UPSTREAM_FAILED, Outcome.NOT_RUN,
					"the reply to the identity check cannot be read: " + ex.getMessage()));
			return;
		}
		if (identity.isEmpty()) {
			this.exchange.complete(response);
			return;
		}
		this.connection.setIdentity(identity);
		if (identity.getAsLong() == this.check.expectedIdentity()) {
			this.connection.sendAfterRead(this.exchange);
		}
		else {
			this.exchange.failWithOtherIdentity(identity);
		}
	}

	@Override
	public void fail(ErrorKind kind, String detail) {
		this.exchange.fail(kind, detail);
	}

	@Override
	public void fail(DispatchException error) {
		this.exchange.fail(error);
	}

}
