package org.limpetgate.net.http;

import java.util.Map;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers, names in lower case, without hop-by-hop headers
 * @param body the body, possibly empty; not to be modified
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

	public HttpReply {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a header.
	 * @param name the name in lower case
	 * @return the value, empty if the header is missing
	 */
	public String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

}
