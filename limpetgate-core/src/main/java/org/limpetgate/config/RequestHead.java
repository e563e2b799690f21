package org.limpetgate.config;

import java.util.Map;

/**
 * The parts of a request that routes can match.
 *
 * @param caller the caller, or empty if the request has none
 * @param method the HTTP method
 * @param host the host name without port, in lower case, or empty
 * @param path the path without the query
 * @param headers the headers, names in lower case
 */
public record RequestHead(String caller, String method, String host, String path, Map<String, String> headers) {

	public RequestHead {
		headers = Map.copyOf(headers);
	}

}
