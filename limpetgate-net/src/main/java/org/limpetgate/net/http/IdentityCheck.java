package org.limpetgate.net.http;

import java.util.OptionalLong;

/**
 * Binds an exchange to the process behind an address, so that its request is not sent to
 * another process that listens at the same address later.
 * <p>
 * A connection ends with the process that accepted it. Before the first exchange with a
 * check on a connection, the client sends the call of the check, and the connection keeps
 * the identity that is read from the reply. All checks of an address read the same kind
 * of identity.
 * <p>
 * The methods are called on the event loop of the connection. Implementations do not
 * block.
 */
public interface IdentityCheck {

	/**
	 * Returns the request that asks for the identity. It is needed only if the identity
	 * of the connection is not known.
	 * @return the request, not null
	 */
	HttpCall call();

	/**
	 * Reads the identity from the reply to {@link #call()}.
	 * @param reply the reply, not null
	 * @return the identity, or empty if the reply is a refusal, which is then the reply
	 * of the exchange
	 * @throws RuntimeException if the reply is neither, which fails the exchange
	 */
	OptionalLong identity(HttpReply reply);

	/**
	 * Returns the identity of the only process to which the request of the exchange may
	 * be sent.
	 * @return the identity
	 */
	long expectedIdentity();

}
