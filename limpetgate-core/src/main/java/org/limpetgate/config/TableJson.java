package org.limpetgate.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.RouteName;
import org.limpetgate.UpstreamId;
import org.limpetgate.json.JsonObject;
import org.limpetgate.json.JsonResult;

/**
 * Reads and writes rows, and files with both tables, as JSON.
 * <p>
 * The written JSON is canonical: every field is present and in a fixed order, so that a
 * later change of a default does not change stored rows, and equal rows have equal text.
 */
public final class TableJson {

	/** Longest deadline of a route, in milliseconds. */
	public static final int MAX_DEADLINE_MILLIS = 600_000;

	/** Maximum number of slots of a runner. */
	public static final int MAX_SLOTS = 100_000;

	/** Maximum number of cores of a worker. */
	public static final double MAX_CORES = 10_000;

	/** Maximum memory of a worker, in MB. */
	public static final long MAX_MEMORY_MB = 100_000_000;

	/** Maximum number of accelerators of a worker. */
	public static final int MAX_ACCELERATORS = 1_000;

	/** Maximum number of connections from one entry host to one upstream. */
	public static final int MAX_CONNECTIONS = 10_000;

	/** Maximum number of queued tasks of a pool at one entry host. */
	public static final int MAX_QUEUE_TASKS = 10_000_000;

	/** Maximum size of all queued bodies of a pool at one entry host, in bytes. */
	public static final long MAX_QUEUE_BYTES = 64L * 1024 * 1024 * 1024;

	/** Maximum retry budget, in percent; at 100, retries can already double the load. */
	public static final int MAX_RETRY_PERCENT = 100;

	/** Maximum weight of a caller. */
	public static final int MAX_WEIGHT = 1_000;

	/** Maximum number of concurrent attempts of a caller or route at one entry host. */
	public static final int MAX_IN_FLIGHT = 1_000_000;

	private static final int MAX_PORT = 65_535;

	private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

	private static final Pattern HOST = Pattern.compile("[a-z0-9._-]{1,253}|\\[[0-9a-f:.]+\\]");

	private static final Pattern HEADER = Pattern.compile("[a-z0-9!#$%&'*+.^_`|~-]{1,128}");

	private static final Pattern RACK = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

	private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");

	private static final Pattern IPV6 = Pattern.compile("(?=.*:.*:)[0-9A-Fa-f:][0-9A-Fa-f:.]{1,44}");

	private TableJson() {
	}

	/**
	 * Reads a route.
	 * @param source the file or other origin, named in problems, not null
	 * @param json the row in UTF-8, not null
	 * @return the route or the problems, not null
	 */
	public static JsonResult<Route> readRoute(String source, byte[] json) {
		return JsonObject.read(source, json, TableJson::route);
	}

	/**
	 * Reads a pool.
	 * @param source the file or other origin, named in problems, not null
	 * @param json the row in UTF-8, not null
	 * @return the pool or the problems, not null
	 */
	public static JsonResult<Pool> readPool(String source, byte[] json) {
		return JsonObject.read(source, json, TableJson::pool);
	}

	/**
	 * Reads a file with both tables.
	 * @param source the file or other origin, named in problems, not null
	 * @param json the file in UTF-8, not null
	 * @return the tables, with {@link ConfigurationTable#NO_VERSION}, or the problems
	 */
	public static JsonResult<Configuration> readTables(String source, byte[] json) {
		return JsonObject.read(source, json, TableJson::tables);
	}

	/**
	 * Writes a route.
	 * @param route the route, not null
	 * @return the canonical JSON, not null
	 */
	public static String write(Route route) {
		return toNode(route).toString();
	}

	/**
	 * Writes a pool.
	 * @param pool the pool, not null
	 * @return the canonical JSON, not null
	 */
	public static String write(Pool pool) {
		return toNode(pool).toString();
	}

	/**
	 * Writes both tables in the form of a tables file.
	 * @param configuration the tables, not null
	 * @return the JSON on several lines, not null
	 */
	public static String write(Configuration configuration) {
		ObjectNode root = JsonNodeFactory.instance.objectNode();
		ArrayNode pools = root.putArray("pools");
		configuration.pools().forEach((pool) -> pools.add(toNode(pool)));
		ArrayNode routes = root.putArray("routes");
		configuration.routes().forEach((route) -> routes.add(toNode(route)));
		return root.toPrettyString() + "\n";
	}

	/**
	 * Validates an IP address without a DNS lookup.
	 * @param text the address
	 * @return the address as given, not null
	 * @throws IllegalArgumentException if it is a host name or malformed
	 */
	public static String ipAddress(String text) {
		if (IPV4.matcher(text).matches()) {
			return text;
		}
		if (IPV6.matcher(text).matches()) {
			try {
				InetAddress.getByName(text);
				return text;
			}
			catch (UnknownHostException ex) {
				throw new IllegalArgumentException("'" + text + "' is not an IP address; use for example 10.0.0.7", ex);
			}
		}
		throw new IllegalArgumentException("'" + text + "' is not an IP address; use for example 10.0.0.7, no name");
	}

	private static Configuration tables(JsonObject file) {
		Set<String> names = new HashSet<>();
		Map<UpstreamId, PoolName> poolsByUpstream = new HashMap<>();
		List<Pool> pools = file.objects("pools", (row) -> poolOfTables(row, names, poolsByUpstream));
		Set<String> routeNames = new HashSet<>();
		List<Route> routes = file.objects("routes", (row) -> routeOfTables(row, names, routeNames));
		return file.build(() -> Configuration.of(ConfigurationTable.NO_VERSION, routes, pools));
	}

	private static Pool poolOfTables(JsonObject row, Set<String> names, Map<UpstreamId, PoolName> poolsByUpstream) {
		if (!names.add(row.string("name"))) {
			row.problem("name", "'" + row.string("name") + "' is the name of an earlier pool", "use another name");
		}
		Pool pool = pool(row);
		if (pool == null) {
			return null;
		}
		for (int index = 0; index < pool.upstreams().size(); index++) {
			UpstreamId id = pool.upstreams().get(index).id();
			PoolName earlierPool = poolsByUpstream.putIfAbsent(id, pool.name());
			if (earlierPool != null && !earlierPool.equals(pool.name())) {
				row.problem("upstreams[" + index + "].id", "'" + id + "' is also in pool '" + earlierPool + "'",
						"use ids that are unique among all pools");
			}
		}
		return pool;
	}

	private static Route routeOfTables(JsonObject row, Set<String> pools, Set<String> names) {
		if (!names.add(row.string("name"))) {
			row.problem("name", "'" + row.string("name") + "' is the name of an earlier route", "use another name");
		}
		Route route = route(row);
		if (route != null && !pools.contains(route.pool().value())) {
			row.problem("pool", "names pool '" + route.pool() + "', which does not exist",
					"add the pool or correct the name");
		}
		return route;
	}

	private static Route route(JsonObject row) {
		RouteName name = row.parsedString("name", RouteName::of);
		Match match = row.object("match", TableJson::match);
		PoolName pool = row.parsedString("pool", PoolName::of);
		Route.Idempotence idempotent = row.parsedString("idempotent", JsonObject.constants(Route.Idempotence.class),
				Route.Idempotence.BY_METHOD);
		long deadline = row.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS, Route.DEFAULT_DEADLINE_MILLIS);
		long inFlight = row.integer("inFlight", 1, MAX_IN_FLIGHT, Route.DEFAULT_IN_FLIGHT);
		return row.build(() -> new Route(name, match.caller, match.method, match.host, match.pathPrefix, match.headers,
				pool, idempotent, (int) deadline, (int) inFlight));
	}

	private static Match match(JsonObject fields) {
		String caller = fields.parsedString("caller", (text) -> CallerId.of(text).value(), "");
		String method = fields.parsedString("method", matching(METHOD, "use capital letters, for example POST"), "");
		String host = fields.parsedString("host", matching(HOST, "use a name in lower case without port"), "");
		String prefix = fields.parsedString("pathPrefix", TableJson::pathPrefix, "");
		Map<String, String> headers = fields.strings("headers");
		for (String header : headers.keySet()) {
			if (!HEADER.matcher(header).matches()) {
				fields.problem("headers." + header, "is not a header name in lower case", "write it in lower case");
			}
		}
		return fields.build(() -> new Match(caller, method, host, prefix, headers));
	}

	private static String pathPrefix(String text) {
		if (!text.startsWith("/") || text.indexOf('?') >= 0 || text.indexOf('#') >= 0) {
			throw new IllegalArgumentException(
					"'" + text + "' is not a path prefix; begin with / and leave out ? and #");
		}
		return text;
	}

	private static Pool pool(JsonObject row) {
		PoolName name = row.parsedString("name", PoolName::of);
		PoolKind kind = row.parsedString("kind", JsonObject.constants(PoolKind.class));
		Set<String> ids = new HashSet<>();
		List<Upstream> upstreams = row.objects("upstreams", (upstream) -> upstream(upstream, kind, ids));
		long connections = row.integer("connectionsPerUpstream", 1, MAX_CONNECTIONS, Pool.DEFAULT_CONNECTIONS);
		long queueTasks = row.integer("queueTasks", 1, MAX_QUEUE_TASKS, Pool.DEFAULT_QUEUE_TASKS);
		long queueBytes = row.integer("queueBytes", 1, MAX_QUEUE_BYTES, Pool.DEFAULT_QUEUE_BYTES);
		long retryPercent = row.integer("retryPercent", 0, MAX_RETRY_PERCENT, Pool.DEFAULT_RETRY_PERCENT);
		Set<CallerId> callers = new HashSet<>();
		List<CallerQuota> quotas = row.objects("quotas", (quota) -> quota(quota, callers));
		return row.build(() -> new Pool(name, kind, upstreams, (int) connections, (int) queueTasks, queueBytes,
				(int) retryPercent, quotas));
	}

	private static CallerQuota quota(JsonObject fields, Set<CallerId> callers) {
		CallerId caller = fields.parsedString("caller", CallerId::of);
		if (caller != null && !callers.add(caller)) {
			fields.problem("caller", "'" + caller + "' has an earlier quota in this pool", "keep one of them");
		}
		int weight = (int) fields.integer("weight", 1, MAX_WEIGHT, CallerQuota.DEFAULT_WEIGHT);
		int queueTasks = (int) fields.integer("queueTasks", 1, MAX_QUEUE_TASKS, CallerQuota.DEFAULT_QUEUE_TASKS);
		int inFlight = (int) fields.integer("inFlight", 1, MAX_IN_FLIGHT, CallerQuota.DEFAULT_IN_FLIGHT);
		return fields.build(() -> new CallerQuota(caller, weight, queueTasks, inFlight));
	}

	private static Upstream upstream(JsonObject fields, PoolKind kind, Set<String> ids) {
		UpstreamId id = fields.parsedString("id", UpstreamId::of);
		if (id != null && !ids.add(id.value())) {
			fields.problem("id", "'" + id + "' is the id of an earlier upstream", "use another id");
		}
		DataCentreId dataCentre = fields.parsedString("dataCentre", DataCentreId::of);
		String address = fields.parsedString("address", TableJson::ipAddress);
		int port = (int) fields.integer("port", 1, MAX_PORT);
		if (kind == PoolKind.WORKERS) {
			Resources resources = new Resources(fields.decimal("cores", 0, MAX_CORES),
					fields.integer("memoryMb", 1, MAX_MEMORY_MB),
					(int) fields.integer("accelerators", 0, MAX_ACCELERATORS, 0));
			if (fields.has("cores") && resources.cores() == 0) {
				fields.problem("cores", "is not above 0", "use the number of cores of the worker");
			}
			String rack = fields.parsedString("rack", matching(RACK, "use letters, digits and . _ : / -"));
			return fields.build(() -> new Upstream(id, dataCentre, address, port, 0, resources, rack));
		}
		int slots = (int) fields.integer("slots", 1, MAX_SLOTS);
		return fields.build(() -> new Upstream(id, dataCentre, address, port, slots, Resources.NONE, ""));
	}

	private static Function<String, String> matching(Pattern pattern, String remedy) {
		return (text) -> {
			if (!pattern.matcher(text).matches()) {
				throw new IllegalArgumentException("'" + text + "' is not valid here; " + remedy);
			}
			return text;
		};
	}

	private static ObjectNode toNode(Route route) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("name", route.name().value());
		ObjectNode match = node.putObject("match");
		putIfPresent(match, "caller", route.caller());
		putIfPresent(match, "method", route.method());
		putIfPresent(match, "host", route.host());
		putIfPresent(match, "pathPrefix", route.pathPrefix());
		ObjectNode headers = match.putObject("headers");
		new TreeMap<>(route.headers()).forEach(headers::put);
		node.put("pool", route.pool().value());
		node.put("idempotent", JsonObject.textOf(route.idempotent()));
		node.put("deadlineMillis", route.deadlineMillis());
		node.put("inFlight", route.inFlight());
		return node;
	}

	private static void putIfPresent(ObjectNode node, String field, String value) {
		if (!value.isEmpty()) {
			node.put(field, value);
		}
	}

	private static ObjectNode toNode(Pool pool) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("name", pool.name().value());
		node.put("kind", JsonObject.textOf(pool.kind()));
		ArrayNode upstreams = node.putArray("upstreams");
		pool.upstreams().forEach((upstream) -> upstreams.add(toNode(upstream, pool.kind())));
		node.put("connectionsPerUpstream", pool.connectionsPerUpstream());
		node.put("queueTasks", pool.queueTasks());
		node.put("queueBytes", pool.queueBytes());
		node.put("retryPercent", pool.retryPercent());
		ArrayNode quotas = node.putArray("quotas");
		pool.quotas().forEach((quota) -> quotas.add(toNode(quota)));
		return node;
	}

	private static ObjectNode toNode(CallerQuota quota) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("caller", quota.caller().value());
		node.put("weight", quota.weight());
		node.put("queueTasks", quota.queueTasks());
		node.put("inFlight", quota.inFlight());
		return node;
	}

	private static ObjectNode toNode(Upstream upstream, PoolKind kind) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("id", upstream.id().value());
		node.put("dataCentre", upstream.dataCentre().value());
		node.put("address", upstream.address());
		node.put("port", upstream.port());
		if (kind == PoolKind.WORKERS) {
			node.put("cores", upstream.resources().cores());
			node.put("memoryMb", upstream.resources().memoryMb());
			node.put("accelerators", upstream.resources().accelerators());
			node.put("rack", upstream.rack());
		}
		else {
			node.put("slots", upstream.slots());
		}
		return node;
	}

	private record Match(String caller, String method, String host, String pathPrefix, Map<String, String> headers) {
	}

}
