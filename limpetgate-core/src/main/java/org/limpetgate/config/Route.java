package org.limpetgate.config;

import java.util.Map;
import java.util.Objects;

import org.limpetgate.PoolName;
import org.limpetgate.RouteName;

/**
 * A row of the routes table.
 * <p>
 * An empty match field matches every request.
 *
 * @param name the name
 * @param caller the caller to match, or empty
 * @param method the HTTP method to match, or empty
 * @param host the host name to match without port, in lower case, or empty
 * @param pathPrefix the prefix of the path to match, or empty
 * @param headers headers that must be present with exactly this value, names in lower
 * case
 * @param pool the pool that serves the requests
 * @param idempotent whether all requests of the route are idempotent, or
 * {@link Idempotence#BY_METHOD}
 * @param deadlineMillis the time allowed for one request, in milliseconds, at least 1
 * @param inFlight the maximum number of concurrent attempts of the route from one entry
 * host, at least 1
 */
public record Route(RouteName name, String caller, String method, String host, String pathPrefix,
		Map<String, String> headers, PoolName pool, Idempotence idempotent, int deadlineMillis, int inFlight) {

	/** Default time allowed for one request, in milliseconds. */
	public static final int DEFAULT_DEADLINE_MILLIS = 10_000;

	/** Default limit on attempts in flight, higher than one host can reach. */
	public static final int DEFAULT_IN_FLIGHT = 1_000_000;

	/**
	 * The rule for which requests of a route are idempotent.
	 */
	public enum Idempotence {

		/** GET, HEAD, PUT, DELETE and OPTIONS are idempotent. */
		BY_METHOD,

		/** All requests are idempotent. */
		ALWAYS,

		/** No request is idempotent. */
		NEVER

	}

	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(pool, "pool");
		Objects.requireNonNull(idempotent, "idempotent");
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a route with the default limit on attempts in flight.
	 * @param name the name
	 * @param caller the caller to match, or empty
	 * @param method the HTTP method to match, or empty
	 * @param host the host name to match, or empty
	 * @param pathPrefix the prefix of the path to match, or empty
	 * @param headers headers that must be present
	 * @param pool the pool that serves the requests
	 * @param idempotent which requests are idempotent
	 * @param deadlineMillis the time allowed for one request, in milliseconds
	 */
	public Route(RouteName name, String caller, String method, String host, String pathPrefix,
			Map<String, String> headers, PoolName pool, Idempotence idempotent, int deadlineMillis) {
		this(name, caller, method, host, pathPrefix, headers, pool, idempotent, deadlineMillis, DEFAULT_IN_FLIGHT);
	}

	/**
	 * Returns a route that matches a path prefix, with defaults for all other fields.
	 * @param name the name, not null
	 * @param pathPrefix the prefix, not null
	 * @param pool the pool, not null
	 * @return the route, not null
	 */
	public static Route ofPath(RouteName name, String pathPrefix, PoolName pool) {
		return new Route(name, "", "", "", pathPrefix, Map.of(), pool, Idempotence.BY_METHOD, DEFAULT_DEADLINE_MILLIS);
	}

	/**
	 * Tests whether a request is idempotent under this route.
	 * @param requestMethod the HTTP method, not null
	 * @return true if running the request twice has the same effect as once
	 */
	public boolean isIdempotent(String requestMethod) {
		return switch (this.idempotent) {
			case ALWAYS -> true;
			case NEVER -> false;
			case BY_METHOD -> switch (requestMethod) {
				case "GET", "HEAD", "PUT", "DELETE", "OPTIONS" -> true;
				default -> false;
			};
		};
	}

}
