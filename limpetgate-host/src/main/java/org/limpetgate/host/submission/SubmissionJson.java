package org.limpetgate.host.submission;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.PoolName;
import org.limpetgate.Resources;
import org.limpetgate.SubmissionKey;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmittedTask;

/**
 * Reads and writes submissions as JSON.
 * <p>
 * Reading is strict: an unknown field, a wrong type, a missing field or a value out of
 * range is an {@link ErrorKind#INVALID_SUBMISSION} whose message gives the JSON path and
 * the expected value. Stateless and thread-safe.
 */
public final class SubmissionJson {

	private static final Set<String> FIELDS = Set.of("key", "expiry", "attempt", "wait", "tasks");

	private static final Set<String> TASK_FIELDS = Set.of("id", "method", "path", "headers", "body", "bodyBase64",
			"pool", "idempotent", "resources", "runMillis");

	private static final Set<String> RESOURCE_FIELDS = Set.of("cores", "memoryMb", "accelerators");

	private static final int MAX_TASK_ID_CHARS = 128;

	private static final long MAX_RUN_MILLIS = TimeUnit.DAYS.toMillis(1);

	private static final String NO_LINE_BREAKS = "[^\\r\\n\\x00]*";

	private static final ObjectMapper MAPPER = JsonMapper
		.builder(JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build())
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private SubmissionJson() {
	}

	/**
	 * Reads a submission.
	 * @param caller the caller that sent it, not null
	 * @param json the body of the request, not null
	 * @return the submission, not null
	 * @throws DispatchException with {@link ErrorKind#INVALID_SUBMISSION} or
	 * {@link ErrorKind#TOO_MANY_TASKS}; its outcome is "not run" if the declared attempt
	 * could be read and is 1
	 */
	public static Submission read(CallerId caller, byte[] json) {
		JsonNode root = parse(json);
		boolean firstAttempt = root.path("attempt").isInt() && root.path("attempt").intValue() == 1;
		try {
			return read(caller, root);
		}
		catch (InvalidFieldException ex) {
			throw DispatchException.of(ex.kind, firstAttempt ? Outcome.NOT_RUN : Outcome.UNKNOWN, ex.getMessage());
		}
	}

	private static JsonNode parse(byte[] json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			String location = (ex.getLocation() != null)
					? " at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() : "";
			throw DispatchException.of(ErrorKind.INVALID_SUBMISSION, Outcome.UNKNOWN,
					"$: not valid JSON" + location + ": " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Submission read(CallerId caller, JsonNode root) {
		checkFields(root, "$", FIELDS);
		SubmissionKey key = idField(root, "$", "key", SubmissionKey::of);
		long expiry = expiry(root);
		int attempt = (int) integerField(root, "$", "attempt", Submission.ATTEMPT_UNDECLARED, 1, Integer.MAX_VALUE);
		boolean wait = booleanField(root, "$", "wait", true);
		JsonNode array = root.path("tasks");
		if (!array.isArray() || array.isEmpty()) {
			throw invalid("$.tasks", "must be an array of 1 to " + Submission.MAX_TASKS + " tasks");
		}
		if (array.size() > Submission.MAX_TASKS) {
			throw new InvalidFieldException(ErrorKind.TOO_MANY_TASKS, "$.tasks: has " + array.size() + " tasks");
		}
		List<SubmittedTask> tasks = new ArrayList<>(array.size());
		Map<String, Integer> ids = new HashMap<>();
		for (int i = 0; i < array.size(); i++) {
			SubmittedTask task = task(array.get(i), "$.tasks[" + i + "]");
			Integer earlierIndex = ids.put(task.id(), i);
			if (earlierIndex != null) {
				throw invalid("$.tasks[" + i + "].id",
						"'" + task.id() + "' is also the id of $.tasks[" + earlierIndex + "]; use unique ids");
			}
			tasks.add(task);
		}
		return Submission.of(caller, key, expiry, attempt, wait, tasks);
	}

	private static long expiry(JsonNode root) {
		String text = stringField(root, "$", "expiry", null);
		try {
			Instant instant = Instant.parse(text);
			return Math.addExact(Math.multiplyExact(instant.getEpochSecond(), TimeUnit.SECONDS.toNanos(1)),
					instant.getNano());
		}
		catch (DateTimeException | ArithmeticException ex) {
			throw invalid("$.expiry", "'" + text + "' is not an ISO-8601 instant such as 2030-01-31T10:15:30Z");
		}
	}

	private static SubmittedTask task(JsonNode node, String path) {
		checkFields(node, path, TASK_FIELDS);
		String id = stringField(node, path, "id", null);
		if (id.isEmpty() || id.length() > MAX_TASK_ID_CHARS) {
			throw invalid(path + ".id", "must have 1 to " + MAX_TASK_ID_CHARS + " characters");
		}
		String method = stringField(node, path, "method", "POST");
		if (!method.matches("[A-Z]{1,20}")) {
			throw invalid(path + ".method", "'" + method + "' is not an HTTP method in upper case");
		}
		String target = stringField(node, path, "path", null);
		if (!target.matches("/[\\x21-\\x7e]*")) {
			throw invalid(path + ".path", "must begin with / and have printable ASCII characters without spaces");
		}
		PoolName pool = node.has("pool") ? idField(node, path, "pool", PoolName::of) : null;
		long runMillis = integerField(node, path, "runMillis", 0, 0, MAX_RUN_MILLIS);
		return new SubmittedTask(id, method, target, headers(node, path), body(node, path), pool,
				booleanField(node, path, "idempotent", false), resources(node, path),
				TimeUnit.MILLISECONDS.toNanos(runMillis));
	}

	private static Map<String, String> headers(JsonNode task, String path) {
		if (!task.has("headers")) {
			return Map.of();
		}
		JsonNode node = task.get("headers");
		if (!node.isObject()) {
			throw invalid(path + ".headers", "must be an object with string values");
		}
		Map<String, String> headers = new HashMap<>();
		for (Map.Entry<String, JsonNode> header : node.properties()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			String value = stringField(node, path + ".headers", header.getKey(), null);
			if (!name.matches("[!#$%&'*+.^_`|~0-9a-z-]+") || !value.matches(NO_LINE_BREAKS)) {
				throw invalid(path + ".headers." + header.getKey(), "is not a valid HTTP header");
			}
			if (headers.put(name, value) != null) {
				throw invalid(path + ".headers." + header.getKey(), "occurs twice; header names ignore case");
			}
		}
		return headers;
	}

	private static byte[] body(JsonNode task, String path) {
		if (!task.has("bodyBase64")) {
			return stringField(task, path, "body", "").getBytes(StandardCharsets.UTF_8);
		}
		if (task.has("body")) {
			throw invalid(path + ".bodyBase64", "cannot stand beside body; use one of them");
		}
		try {
			return Base64.getDecoder().decode(stringField(task, path, "bodyBase64", null));
		}
		catch (IllegalArgumentException ex) {
			throw invalid(path + ".bodyBase64", "is not valid Base64");
		}
	}

	private static Resources resources(JsonNode task, String path) {
		if (!task.has("resources")) {
			return Resources.NONE;
		}
		JsonNode node = task.get("resources");
		String nodePath = path + ".resources";
		checkFields(node, nodePath, RESOURCE_FIELDS);
		JsonNode cores = node.path("cores");
		if (node.has("cores")
				&& (!cores.isNumber() || !(cores.doubleValue() >= 0) || Double.isInfinite(cores.doubleValue()))) {
			throw invalid(nodePath + ".cores", "must be a number of at least 0");
		}
		long memory = integerField(node, nodePath, "memoryMb", 0, 0, Integer.MAX_VALUE);
		long accelerators = integerField(node, nodePath, "accelerators", 0, 0, Integer.MAX_VALUE);
		return new Resources(cores.asDouble(0), memory, (int) accelerators);
	}

	private static void checkFields(JsonNode node, String path, Set<String> allowed) {
		if (!node.isObject()) {
			throw invalid(path, "must be an object");
		}
		Iterator<String> names = node.fieldNames();
		while (names.hasNext()) {
			String name = names.next();
			if (!allowed.contains(name)) {
				throw invalid(path + "." + name, "is not a known field; the fields are "
						+ String.join(", ", allowed.stream().sorted().toList()));
			}
		}
	}

	private static String stringField(JsonNode node, String path, String field, String defaultValue) {
		JsonNode value = node.get(field);
		if (value == null && defaultValue != null) {
			return defaultValue;
		}
		if (value == null || !value.isTextual()) {
			throw invalid(path + "." + field, (value != null) ? "must be a string" : "is missing; add a string");
		}
		return value.textValue();
	}

	private static boolean booleanField(JsonNode node, String path, String field, boolean defaultValue) {
		JsonNode value = node.get(field);
		if (value == null) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			throw invalid(path + "." + field, "must be true or false");
		}
		return value.booleanValue();
	}

	private static long integerField(JsonNode node, String path, String field, long defaultValue, long min, long max) {
		JsonNode value = node.get(field);
		if (value == null) {
			return defaultValue;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < min
				|| value.longValue() > max) {
			throw invalid(path + "." + field, "must be a whole number from " + min + " to " + max);
		}
		return value.longValue();
	}

	private static <T> T idField(JsonNode node, String path, String field, Function<String, T> parser) {
		String text = stringField(node, path, field, null);
		try {
			return parser.apply(text);
		}
		catch (IllegalArgumentException ex) {
			throw invalid(path + "." + field, ex.getMessage());
		}
	}

	private static InvalidFieldException invalid(String path, String problem) {
		return new InvalidFieldException(ErrorKind.INVALID_SUBMISSION, path + ": " + problem);
	}

	/**
	 * Writes a submission in the form that {@link #read} reads, for peers.
	 * @param submission the submission, not null
	 * @return the JSON, not null
	 */
	public static byte[] write(Submission submission) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("key", submission.key().value());
		long nanosPerSecond = TimeUnit.SECONDS.toNanos(1);
		root.put("expiry",
				Instant
					.ofEpochSecond(Math.floorDiv(submission.expiryNanos(), nanosPerSecond),
							Math.floorMod(submission.expiryNanos(), nanosPerSecond))
					.toString());
		if (submission.attempt() != Submission.ATTEMPT_UNDECLARED) {
			root.put("attempt", submission.attempt());
		}
		root.put("wait", submission.isSynchronous());
		ArrayNode tasks = root.putArray("tasks");
		submission.tasks().forEach((task) -> write(task, tasks.addObject()));
		return toBytes(root);
	}

	private static void write(SubmittedTask task, ObjectNode node) {
		node.put("id", task.id());
		node.put("method", task.method());
		node.put("path", task.path());
		ObjectNode headers = node.putObject("headers");
		task.headers().forEach(headers::put);
		node.put("bodyBase64", Base64.getEncoder().encodeToString(task.body()));
		if (task.pool() != null) {
			node.put("pool", task.pool().value());
		}
		node.put("idempotent", task.idempotent());
		node.putObject("resources")
			.put("cores", task.resources().cores())
			.put("memoryMb", task.resources().memoryMb())
			.put("accelerators", task.resources().accelerators());
		node.put("runMillis", TimeUnit.NANOSECONDS.toMillis(task.runNanos()));
	}

	static byte[] toBytes(ObjectNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static ObjectMapper mapper() {
		return MAPPER;
	}

	private static final class InvalidFieldException extends RuntimeException {

		private final ErrorKind kind;

		InvalidFieldException(ErrorKind kind, String message) {
			super(message, null, false, false);
			this.kind = kind;
		}

	}

}
