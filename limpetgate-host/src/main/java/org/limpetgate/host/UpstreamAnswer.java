package org.limpetgate.host;

import org.limpetgate.net.http.HttpReply;

/**
 * The whole answer of an upstream.
 *
 * @param reply the answer
 * @param leaving whether the upstream announced that it is leaving
 */
public record UpstreamAnswer(HttpReply reply, boolean leaving) {

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * Tests whether the upstream ran the task and failed.
	 * @return true for a status of 500 or above
	 */
	public boolean isFailure() {
		return this.reply.status() >= FIRST_SERVER_ERROR;
	}

}
