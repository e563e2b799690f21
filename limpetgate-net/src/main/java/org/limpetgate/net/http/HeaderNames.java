package org.limpetgate.net.http;

/**
 * The header names of the system's own HTTP contract, in lower case as in
 * {@link HttpCall} and {@link HttpReply}.
 */
public final class HeaderNames {

	/** The outcome of the work: complete, failed, not-run or unknown. */
	public static final String OUTCOME = "limpetgate-outcome";

	/** Set to true by an upstream that is leaving. */
	public static final String LEAVING = "limpetgate-leaving";

	/**
	 * A number that the client sends with each exchange. An upstream that returns it lets
	 * the client recognise an answer to another exchange.
	 */
	public static final String EXCHANGE = "limpetgate-exchange";

	private HeaderNames() {
	}

}
