package org.limpetgate.net.http;

import java.util.Map;

/**
 * A complete HTTP request.
 *
 * @param method the method in upper case
 * @param target the request target: path and query as sent
 * @param headers the headers, names in lower case, repeated ones joined with commas
 * @param body the body, possibly empty; not to be modified
 */
public record HttpCall(String method, String target, Map<String, String> headers, byte[] body) {

	public HttpCall {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the path without the query.
	 * @return the path, not null
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
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
