package org.limpetgate.host.operator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Outcome;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.config.HistoryEntry;
import org.limpetgate.config.TableJson;
import org.limpetgate.config.TableName;
import org.limpetgate.config.VersionedRow;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.host.settings.Key;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpHandler;
import org.limpetgate.net.http.HttpReply;

/**
 * Handles the requests of operators below {@value #PREFIX}.
 * <p>
 * Each request must carry an {@link OperatorSignature}. A row is changed with
 * {@code If-Match: "version"} and created with {@code If-None-Match: *}; without either
 * the edit is refused, since it could overwrite the edit of another operator.
 * <p>
 * Thread-safe.
 */
public final class OperatorApi implements HttpHandler {

	/** The prefix of all paths. */
	public static final String PREFIX = "/operator/v1/";

	private static final int DEFAULT_HISTORY = 100;

	private static final Pattern VERSION = Pattern.compile("\"?(\\d{1,18})\"?");

	private static final Pattern EDIT_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

	private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final HostId self;

	private final ConfigurationService service;

	private final ClusterStatus cluster;

	private volatile List<Key> keys;

	private final LongSupplier nowNanos;

	/**
	 * Creates the handler.
	 * @param self this host, not null
	 * @param service the configuration, not null
	 * @param cluster the versions of all hosts, not null
	 * @param keys the keys of the operators, not null
	 * @param nowNanos returns the current time in nanoseconds since the Unix epoch, not
	 * null
	 */
	public OperatorApi(HostId self, ConfigurationService service, ClusterStatus cluster, List<Key> keys,
			LongSupplier nowNanos) {
		this.self = Objects.requireNonNull(self, "self");
		this.service = Objects.requireNonNull(service, "service");
		this.cluster = Objects.requireNonNull(cluster, "cluster");
		this.keys = List.copyOf(keys);
		this.nowNanos = Objects.requireNonNull(nowNanos, "nowNanos");
	}

	/**
	 * Replaces the keys of the operators.
	 * @param newKeys the keys, not null
	 */
	public void replaceKeys(List<Key> newKeys) {
		this.keys = List.copyOf(newKeys);
	}

	@Override
	public CompletableFuture<HttpReply> handle(HttpCall call) {
		try {
			String operator = OperatorSignature.verify(this.keys, call,
					Duration.ofNanos(this.nowNanos.getAsLong()).toMillis());
			return route(operator, call).exceptionally((failure) -> error(failure, ""));
		}
		catch (DispatchException ex) {
			return CompletableFuture.completedFuture(error(ex, ""));
		}
	}

	private CompletableFuture<HttpReply> route(String operator, HttpCall call) {
		String path = call.path().startsWith(PREFIX) ? call.path().substring(PREFIX.length()) : "";
		int slash = path.indexOf('/');
		String collection = (slash < 0) ? path : path.substring(0, slash);
		String name = (slash < 0) ? "" : decode(path.substring(slash + 1));
		return switch (collection) {
			case "routes" -> table(TableName.ROUTES, name, operator, call);
			case "pools" -> table(TableName.POOLS, name, operator, call);
			case "tables" -> tables(operator, call);
			case "status" -> requireGet(call, status());
			case "history" -> requireGet(call, history(call));
			case "edits" -> requireGet(call, editState(name));
			default ->
				throw malformed("no such path; use routes, pools, tables, status, history or edits below " + PREFIX);
		};
	}

	private static String decode(String text) {
		try {
			return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			throw malformed("the path has an invalid percent-encoding");
		}
	}

	private CompletableFuture<HttpReply> table(TableName table, String name, String operator, HttpCall call) {
		return switch (call.method()) {
			case "GET" -> name.isEmpty() ? rows(table) : row(table, name);
			case "PUT", "DELETE" -> edit(table, name, operator, call);
			default -> throw malformed("use GET, PUT or DELETE");
		};
	}

	private CompletableFuture<HttpReply> tables(String operator, HttpCall call) {
		if (call.method().equals("GET")) {
			checkReady();
			return this.service.read((state) -> reply(200, Map.of("etag", "\"" + state.version() + "\""),
					parse(TableJson.write(state.configuration()))));
		}
		if (!call.method().equals("PUT")) {
			throw malformed("use GET or PUT");
		}
		Configuration tables = TableJson.readTables("request body", call.body()).orThrow(ErrorKind.INVALID_EDIT);
		String editId = editId(call);
		return this.service.reset(editId, tables).handle((result, failure) -> {
			HttpReply reply = (failure != null) ? error(failure, editId) : accepted(result);
			log.atWarning()
				.log("LG2114 TABLES_RESET operator %s: reset of all tables, edit %s: status %d", operator, editId,
						reply.status());
			return reply;
		});
	}

	private static CompletableFuture<HttpReply> requireGet(HttpCall call, CompletableFuture<HttpReply> reply) {
		if (!call.method().equals("GET")) {
			throw malformed("use GET");
		}
		return reply;
	}

	private CompletableFuture<HttpReply> rows(TableName table) {
		checkReady();
		return this.service.read((state) -> {
			ObjectNode body = newObject().put("version", state.version());
			ArrayNode rows = body.putArray("rows");
			state.rows(table)
				.forEach((row) -> rows.addObject()
					.put("name", row.name())
					.put("version", row.version())
					.set("row", parse(row.row())));
			return reply(200, Map.of(), body);
		});
	}

	private CompletableFuture<HttpReply> row(TableName table, String name) {
		checkReady();
		return this.service.read((state) -> {
			VersionedRow row = state.row(table, name)
				.orElseThrow(() -> DispatchException.of(ErrorKind.UNKNOWN_ROW, Outcome.NOT_RUN,
						table.text() + " has no row '" + name + "'"));
			return reply(200, Map.of("etag", "\"" + row.version() + "\""), parse(row.row()));
		});
	}

	private CompletableFuture<HttpReply> edit(TableName table, String name, String operator, HttpCall call) {
		long base = baseVersion(call);
		String row = call.method().equals("PUT") ? canonicalRow(table, call.body()) : "";
		String editId = editId(call);
		Edit edit = new Edit(editId, operator, this.nowNanos.getAsLong(), table, name, base, row);
		return this.service.edit(edit).handle((result, failure) -> {
			HttpReply reply = (failure != null) ? error(failure, editId) : accepted(result);
			log.atInfo()
				.log("LG2110 EDIT operator %s: %s %s '%s' from version %d, edit %s: status %d", operator, call.method(),
						table.text(), name, base, editId, reply.status());
			return reply;
		});
	}

	private static long baseVersion(HttpCall call) {
		String ifMatch = call.header("if-match");
		boolean isNew = call.header("if-none-match").equals("*");
		Matcher matcher = VERSION.matcher(ifMatch);
		if (isNew && ifMatch.isEmpty() && call.method().equals("PUT")) {
			return ConfigurationTable.NO_VERSION;
		}
		if (isNew || !matcher.matches()) {
			throw invalid("the base version of the edit is missing; "
					+ "send If-Match: \"version\" with the version of the row, or If-None-Match: * to add a row");
		}
		return Long.parseLong(matcher.group(1));
	}

	private static String canonicalRow(TableName table, byte[] body) {
		if (table == TableName.ROUTES) {
			return TableJson.write(TableJson.readRoute("request body", body).orThrow(ErrorKind.INVALID_EDIT));
		}
		return TableJson.write(TableJson.readPool("request body", body).orThrow(ErrorKind.INVALID_EDIT));
	}

	private static String editId(HttpCall call) {
		String suppliedId = call.header(OperatorSignature.EDIT_ID);
		if (suppliedId.isEmpty()) {
			return OperatorSignature.requestId(call);
		}
		if (!EDIT_ID.matcher(suppliedId).matches()) {
			throw invalid("the header Limpetgate-Edit-Id is not valid; use 1 to 128 letters, digits and . _ : -");
		}
		return suppliedId;
	}

	private static HttpReply accepted(EditResult result) {
		ObjectNode body = newObject().put("outcome", Outcome.COMPLETE.text())
			.put("editId", result.editId())
			.put("state", "accepted")
			.put("version", result.offset())
			.put("message", "in force at this host; 'limpetgate status' shows the other hosts");
		return reply(200, Map.of("etag", "\"" + result.offset() + "\""), body);
	}

	private CompletableFuture<HttpReply> editState(String editId) {
		return this.service.isPending(editId)
			.thenCombine(this.service.read((state) -> state.result(editId)),
					(pending, result) -> reply(200, Map.of(), describe(editId, pending, result)));
	}

	private static ObjectNode describe(String editId, boolean pending, Optional<EditResult> result) {
		ObjectNode body = newObject().put("editId", editId);
		if (result.isPresent() && result.get().isAccepted()) {
			return body.put("state", "accepted").put("version", result.get().offset());
		}
		if (result.isPresent()) {
			return body.put("state", "rejected")
				.put("error", result.get().error().orElseThrow().name())
				.put("message", result.get().detail() + "; " + result.get().error().orElseThrow().remedy());
		}
		if (pending) {
			return body.put("state", "pending")
				.put("message", "the log has not confirmed the edit yet; query it again");
		}
		return body.put("state", "unknown")
			.put("message", "no such edit among the last " + ConfigurationTable.MAX_RESULTS
					+ "; sending it again with the same id is safe");
	}

	private CompletableFuture<HttpReply> history(HttpCall call) {
		long limit = limit(call);
		return this.service.read((state) -> {
			ObjectNode body = newObject().put("version", state.version());
			ArrayNode entries = body.putArray("entries");
			state.history().stream().limit(limit).forEach((entry) -> entries.add(describe(entry)));
			return reply(200, Map.of(), body);
		});
	}

	private static long limit(HttpCall call) {
		int query = call.target().indexOf('?');
		if (query < 0) {
			return DEFAULT_HISTORY;
		}
		Matcher matcher = Pattern.compile("limit=(\\d{1,6})").matcher(call.target().substring(query + 1));
		if (!matcher.matches()) {
			throw malformed("the query is not valid; use ?limit= and a number");
		}
		return Long.parseLong(matcher.group(1));
	}

	private static ObjectNode describe(HistoryEntry entry) {
		EditResult result = entry.result();
		return newObject().put("editId", result.editId())
			.put("version", result.offset())
			.put("operator", entry.operator())
			.put("appendedAtMillis", Duration.ofNanos(entry.appendedAtNanos()).toMillis())
			.put("table", entry.table().map(TableName::text).orElse(""))
			.put("name", entry.name())
			.put("baseVersion", entry.baseVersion())
			.put("removal", entry.removal())
			.put("state", result.isAccepted() ? "accepted" : "rejected")
			.put("error", result.error().map(ErrorKind::name).orElse(""))
			.put("message", result.detail());
	}

	private CompletableFuture<HttpReply> status() {
		return this.service.status().thenApply((status) -> {
			ObjectNode body = newObject().put("host", this.self.value())
				.put("ready", status.ready())
				.put("version", status.version())
				.put("logFailing", status.logFailing())
				.put("inGap", status.inGap())
				.put("unreadableRecords", status.unreadableRecords())
				.put("divergentSnapshots", status.divergentSnapshots())
				.put("refusedPeerStates", status.refusedPeerStates());
			ArrayNode hosts = body.putArray("hosts");
			this.cluster.hosts().forEach((host) -> hosts.add(describe(host)));
			return reply(200, Map.of(), body);
		});
	}

	private static ObjectNode describe(ClusterStatus.HostVersion host) {
		return newObject().put("host", host.host().value())
			.put("dataCentre", host.dataCentre().value())
			.put("version", host.version())
			.put("behindMillis", Duration.ofNanos(host.behindNanos()).toMillis())
			.put("heardAgoMillis", Duration.ofNanos(host.heartbeatAgeNanos()).toMillis());
	}

	private void checkReady() {
		if (!this.service.isReady()) {
			throw DispatchException.withRetryAfter(ErrorKind.NOT_READY, Outcome.NOT_RUN,
					"the configuration is not known yet", NOT_READY_RETRY.toNanos());
		}
	}

	private static DispatchException invalid(String detail) {
		return DispatchException.of(ErrorKind.INVALID_EDIT, Outcome.NOT_RUN, detail);
	}

	private static DispatchException malformed(String detail) {
		return DispatchException.of(ErrorKind.MALFORMED_REQUEST, Outcome.NOT_RUN, detail);
	}

	private static HttpReply error(Throwable failure, String editId) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (!(cause instanceof DispatchException)) {
			log.atSevere().withCause(cause).log("LG2111 OPERATOR_API_FAULT unexpected exception in the operator API");
		}
		DispatchException error = (cause instanceof DispatchException dispatchError) ? dispatchError
				: DispatchException.of(ErrorKind.INTERNAL, Outcome.UNKNOWN, String.valueOf(cause.getMessage()));
		ObjectNode body = newObject().put("outcome", error.outcome().text())
			.put("error", error.kind().name())
			.put("message", error.getMessage());
		Map<String, String> headers = new HashMap<>();
		if (error.retryAfterNanos() > 0) {
			Duration retryAfter = Duration.ofNanos(error.retryAfterNanos());
			body.put("retryAfterMillis", retryAfter.toMillis());
			headers.put("retry-after", Long.toString(retryAfter.plusMillis(999).toSeconds()));
		}
		if (!editId.isEmpty()) {
			body.put("editId", editId);
		}
		headers.put("limpetgate-outcome", error.outcome().text());
		return reply(error.kind().httpStatus(), headers, body);
	}

	private static HttpReply reply(int status, Map<String, String> headers, JsonNode body) {
		Map<String, String> all = new HashMap<>(headers);
		all.putIfAbsent("limpetgate-outcome", Outcome.COMPLETE.text());
		all.put("content-type", "application/json");
		return new HttpReply(status, all, (body.toString() + "\n").getBytes(StandardCharsets.UTF_8));
	}

	private static ObjectNode newObject() {
		return JsonNodeFactory.instance.objectNode();
	}

	private static JsonNode parse(String json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a stored row is not valid JSON", ex);
		}
	}

}
