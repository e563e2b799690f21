package org.limpetgate.config;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.limpetgate.PoolName;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;

/**
 * The routes and pools at one version.
 * <p>
 * Each route refers to an existing pool. Configurations with the same version have the
 * same rows on every host. Immutable and thread-safe.
 */
public final class Configuration {

	/** The configuration before the first edit. */
	public static final Configuration EMPTY = new Configuration(-1, List.of(), List.of());

	private final long version;

	private final Map<RouteName, Route> routes;

	private final Map<PoolName, Pool> pools;

	private final List<Route> matchOrder;

	private Configuration(long version, Collection<Route> routes, Collection<Pool> pools) {
		this.version = version;
		this.routes = new TreeMap<>();
		this.pools = new TreeMap<>();
		pools.forEach((pool) -> this.pools.put(pool.name(), pool));
		routes.forEach((route) -> this.routes.put(route.name(), route));
		this.matchOrder = this.routes.values().stream().sorted(mostSpecificFirst()).toList();
		checkReferences();
	}

	/**
	 * Returns a configuration.
	 * @param version the log offset of the last record applied, -1 for none
	 * @param routes the routes, not null
	 * @param pools the pools, not null
	 * @return the configuration, not null
	 * @throws IllegalArgumentException if a route refers to a pool that does not exist,
	 * or an upstream is in two pools
	 */
	public static Configuration of(long version, Collection<Route> routes, Collection<Pool> pools) {
		return new Configuration(version, routes, pools);
	}

	/**
	 * Returns the version.
	 * @return the log offset of the last record applied, -1 for none
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the routes, ordered by name.
	 * @return the routes, not null, not modifiable
	 */
	public Collection<Route> routes() {
		return Collections.unmodifiableCollection(this.routes.values());
	}

	/**
	 * Returns the pools, ordered by name.
	 * @return the pools, not null, not modifiable
	 */
	public Collection<Pool> pools() {
		return Collections.unmodifiableCollection(this.pools.values());
	}

	/**
	 * Returns a route.
	 * @param name the name, not null
	 * @return the route, or empty if there is none
	 */
	public Optional<Route> route(RouteName name) {
		return Optional.ofNullable(this.routes.get(name));
	}

	/**
	 * Returns a pool.
	 * @param name the name, not null
	 * @return the pool, or empty if there is none
	 */
	public Optional<Pool> pool(PoolName name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	/**
	 * Returns the route for a request: of the matching routes, the one with the longest
	 * path prefix, then the most other match fields, then the smallest name.
	 * @param head the request, not null
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> match(RequestHead head) {
		for (Route route : this.matchOrder) {
			if (isMatch(route, head)) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private static boolean isMatch(Route route, RequestHead head) {
		return isWildcardOrEqual(route.caller(), head.caller()) && isWildcardOrEqual(route.method(), head.method())
				&& isWildcardOrEqual(route.host(), head.host()) && head.path().startsWith(route.pathPrefix())
				&& route.headers()
					.entrySet()
					.stream()
					.allMatch((header) -> header.getValue().equals(head.headers().get(header.getKey())));
	}

	private static boolean isWildcardOrEqual(String expected, String actual) {
		return expected.isEmpty() || expected.equals(actual);
	}

	private static Comparator<Route> mostSpecificFirst() {
		return Comparator.comparingInt((Route route) -> -route.pathPrefix().length())
			.thenComparingInt((route) -> -matchFieldCount(route))
			.thenComparing(Route::name);
	}

	private static int matchFieldCount(Route route) {
		int fields = route.headers().size();
		fields += route.caller().isEmpty() ? 0 : 1;
		fields += route.method().isEmpty() ? 0 : 1;
		fields += route.host().isEmpty() ? 0 : 1;
		return fields;
	}

	private void checkReferences() {
		Map<UpstreamId, PoolName> poolsByUpstream = new HashMap<>();
		for (Pool pool : this.pools.values()) {
			for (Upstream upstream : pool.upstreams()) {
				PoolName earlierPool = poolsByUpstream.putIfAbsent(upstream.id(), pool.name());
				if (earlierPool != null) {
					throw new IllegalArgumentException("upstream '" + upstream.id() + "' is in pool '" + earlierPool
							+ "' and pool '" + pool.name() + "'; use ids that are unique among all pools");
				}
			}
		}
		for (Route route : this.routes.values()) {
			if (!this.pools.containsKey(route.pool())) {
				throw new IllegalArgumentException("route '" + route.name() + "' names pool '" + route.pool()
						+ "', which does not exist; add the pool first");
			}
		}
	}

}
