package org.limpetgate.net.http;

/**
 * The names of the headers that Limpetgate defines, in lower case as in {@link HttpCall}
 * and {@link HttpReply}.
 */
public final class HeaderNames {

	/** The outcome of the work: complete, failed, not-run or unknown. */
	public static final String OUTCOME = "limpetgate-outcome";

	/** Set to true by an upstream that is leaving. */
	public static final String LEAVING = "limpetgate-leaving";

	/**
	 * The number of the exchange, sent by the client with each request. If the upstream
	 * returns it, the client detects a response that belongs to another exchange.
	 */
	public static final String EXCHANGE = "limpetgate-exchange";

	private HeaderNames() {
	}

}
