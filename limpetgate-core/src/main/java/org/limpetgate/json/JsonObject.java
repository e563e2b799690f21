package org.limpetgate.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * A strict reader of one JSON object, which accepts only the fields that are requested.
 * <p>
 * A missing, unknown, duplicate or wrongly typed field is a problem. Accessors record the
 * problem and return a placeholder, so that one pass finds all problems of a document;
 * {@link #build} returns a value only if there are none.
 * <p>
 * Not thread-safe.
 */
public final class JsonObject {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private final String source;

	private final String path;

	private final JsonNode node;

	private final List<JsonProblem> problems;

	private final int initialProblemCount;

	private final Set<String> requestedFields = new LinkedHashSet<>();

	private JsonObject(String source, String path, JsonNode node, List<JsonProblem> problems) {
		this.source = source;
		this.path = path;
		this.node = node;
		this.problems = problems;
		this.initialProblemCount = problems.size();
	}

	/**
	 * Reads a document whose root is an object.
	 * @param <T> the type of the value
	 * @param source the file or other origin, named in problems, not null
	 * @param json the document in UTF-8, not null
	 * @param reader reads the root object and returns the result of {@link #build}
	 * @return the value or the problems, not null
	 */
	public static <T> JsonResult<T> read(String source, byte[] json, Function<JsonObject, T> reader) {
		List<JsonProblem> problems = new ArrayList<>();
		T value = null;
		try {
			JsonNode root = MAPPER.readTree(json);
			value = readObject(source, "$", root, problems, reader);
		}
		catch (JsonProcessingException ex) {
			problems.add(syntaxProblem(source, ex));
		}
		catch (IOException ex) {
			problems.add(new JsonProblem(source, "$", "cannot be read: " + ex.getMessage(), "use JSON in UTF-8"));
		}
		return JsonResult.of(value, problems);
	}

	private static <T> T readObject(String source, String path, JsonNode node, List<JsonProblem> problems,
			Function<JsonObject, T> reader) {
		if (!node.isObject()) {
			problems.add(
					new JsonProblem(source, path, "is " + typeOf(node) + ", not an object", "use an object in braces"));
			return null;
		}
		return reader.apply(new JsonObject(source, path, node, problems));
	}

	private static JsonProblem syntaxProblem(String source, JsonProcessingException ex) {
		String path = "$";
		if (ex.getProcessor() instanceof JsonParser parser) {
			path += parser.getParsingContext()
				.pathAsPointer()
				.toString()
				.replaceAll("/(\\d+)", "[$1]")
				.replace('/', '.');
		}
		String location = (ex.getLocation() != null)
				? "line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() + ": " : "";
		return new JsonProblem(source, path, location + ex.getOriginalMessage(),
				"correct the JSON; a name may appear once in an object");
	}

	/**
	 * Returns the JSON path of this object.
	 * @return the path, not null
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Tests whether a field is present.
	 * @param field the name of the field, not null
	 * @return true if it is present
	 */
	public boolean has(String field) {
		this.requestedFields.add(field);
		return this.node.has(field);
	}

	/**
	 * Records a problem of a field.
	 * @param field the name of the field, empty for the object itself
	 * @param message what is wrong, not null
	 * @param remedy how to correct it, not null
	 */
	public void problem(String field, String message, String remedy) {
		String problemPath = field.isEmpty() ? this.path : this.path + "." + field;
		this.problems.add(new JsonProblem(this.source, problemPath, message, remedy));
	}

	/**
	 * Reads a required string.
	 * @param field the name of the field, not null
	 * @return the string, empty if there is a problem
	 */
	public String string(String field) {
		JsonNode value = required(field);
		return (value != null) ? text(field, value, "") : "";
	}

	/**
	 * Reads an optional string.
	 * @param field the name of the field, not null
	 * @param fallback the value of a missing field
	 * @return the string, or the fallback
	 */
	public String string(String field, String fallback) {
		JsonNode value = optional(field);
		return (value != null) ? text(field, value, fallback) : fallback;
	}

	/**
	 * Reads a required string and parses it.
	 * @param <T> the type of the value
	 * @param field the name of the field, not null
	 * @param parser parses the string and throws IllegalArgumentException with the remedy
	 * @return the value, null if there is a problem
	 */
	public <T> T parsedString(String field, Function<String, T> parser) {
		JsonNode value = required(field);
		return (value != null) ? parse(field, value, parser) : null;
	}

	/**
	 * Reads an optional string and parses it.
	 * @param <T> the type of the value
	 * @param field the name of the field, not null
	 * @param parser parses the string and throws IllegalArgumentException with the remedy
	 * @param fallback the value of a missing field
	 * @return the value, the fallback, or null if there is a problem
	 */
	public <T> T parsedString(String field, Function<String, T> parser, T fallback) {
		JsonNode value = optional(field);
		return (value != null) ? parse(field, value, parser) : fallback;
	}

	/**
	 * Reads a required integer.
	 * @param field the name of the field, not null
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @return the number, {@code min} if there is a problem
	 */
	public long integer(String field, long min, long max) {
		JsonNode value = required(field);
		return (value != null) ? integer(field, value, min, max) : min;
	}

	/**
	 * Reads an optional integer.
	 * @param field the name of the field, not null
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @param fallback the value of a missing field
	 * @return the number, or the fallback
	 */
	public long integer(String field, long min, long max, long fallback) {
		JsonNode value = optional(field);
		return (value != null) ? integer(field, value, min, max) : fallback;
	}

	/**
	 * Reads a required number.
	 * @param field the name of the field, not null
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 * @return the number, {@code min} if there is a problem
	 */
	public double decimal(String field, double min, double max) {
		JsonNode value = required(field);
		if (value == null) {
			return min;
		}
		if (!value.isNumber()) {
			wrongType(field, value, "a number");
			return min;
		}
		double number = value.doubleValue();
		if (!(number >= min && number <= max)) {
			outOfRange(field, value, min, max);
			return min;
		}
		return number;
	}

	/**
	 * Reads an optional object whose values are strings.
	 * @param field the name of the field, not null
	 * @return the strings by name, empty if the field is missing
	 */
	public Map<String, String> strings(String field) {
		Map<String, String> strings = new LinkedHashMap<>();
		JsonNode value = optional(field);
		if (value != null && !value.isObject()) {
			wrongType(field, value, "an object");
		}
		else if (value != null) {
			value.properties()
				.forEach((entry) -> strings.put(entry.getKey(),
						text(field + "." + entry.getKey(), entry.getValue(), "")));
		}
		return strings;
	}

	/**
	 * Reads an optional array of strings and parses each of them.
	 * @param <T> the type of a value
	 * @param field the name of the field, not null
	 * @param parser parses a string and throws IllegalArgumentException with the remedy
	 * @return the valid values, empty if the field is missing
	 */
	public <T> List<T> parsedList(String field, Function<String, T> parser) {
		List<T> values = new ArrayList<>();
		forEachElement(field, (name, element) -> {
			T value = parse(name, element, parser);
			if (value != null) {
				values.add(value);
			}
		});
		return values;
	}

	/**
	 * Reads an optional array of objects.
	 * @param <T> the type of a value
	 * @param field the name of the field, not null
	 * @param reader reads an object and returns the result of {@link #build}
	 * @return the valid values, empty if the field is missing
	 */
	public <T> List<T> objects(String field, Function<JsonObject, T> reader) {
		List<T> values = new ArrayList<>();
		forEachElement(field, (name, element) -> {
			T value = readObject(this.source, this.path + "." + name, element, this.problems, reader);
			if (value != null) {
				values.add(value);
			}
		});
		return values;
	}

	/**
	 * Reads a nested object. A missing field is read as an empty object, so that the
	 * defaults of its fields apply.
	 * @param <T> the type of the value
	 * @param field the name of the field, not null
	 * @param reader reads the object and returns the result of {@link #build}
	 * @return the value, null if there is a problem
	 */
	public <T> T object(String field, Function<JsonObject, T> reader) {
		JsonNode value = optional(field);
		JsonNode object = (value != null) ? value : MAPPER.createObjectNode();
		return readObject(this.source, this.path + "." + field, object, this.problems, reader);
	}

	/**
	 * Finishes reading this object. Each field that was not requested is a problem.
	 * @param <T> the type of the value
	 * @param constructor creates the value; called only if this object and its nested
	 * objects have no problems
	 * @return the value, null if there is a problem
	 */
	public <T> T build(Supplier<T> constructor) {
		for (Iterator<String> names = this.node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!this.requestedFields.contains(name)) {
				problem(name, "is not a known field",
						"remove it or use one of " + String.join(", ", this.requestedFields));
			}
		}
		if (this.problems.size() > this.initialProblemCount) {
			return null;
		}
		try {
			return constructor.get();
		}
		catch (IllegalArgumentException ex) {
			problem("", ex.getMessage(), "correct the value");
			return null;
		}
	}

	/**
	 * Returns a parser for the constants of an enumeration, written in lower case with
	 * hyphens.
	 * @param <E> the enumeration
	 * @param type the enumeration, not null
	 * @return the parser, not null
	 */
	public static <E extends Enum<E>> Function<String, E> constants(Class<E> type) {
		return (text) -> Stream.of(type.getEnumConstants())
			.filter((constant) -> textOf(constant).equals(text))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("'" + text + "' is not one of "
					+ Stream.of(type.getEnumConstants()).map(JsonObject::textOf).collect(Collectors.joining(", "))));
	}

	/**
	 * Returns the text of a constant, as parsed by {@link #constants}.
	 * @param constant the constant, not null
	 * @return the text in lower case with hyphens, not null
	 */
	public static String textOf(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private JsonNode required(String field) {
		JsonNode value = optional(field);
		if (value == null) {
			problem(field, "is missing", "add it");
		}
		return value;
	}

	private JsonNode optional(String field) {
		this.requestedFields.add(field);
		return this.node.get(field);
	}

	private String text(String field, JsonNode value, String fallback) {
		if (!value.isTextual()) {
			wrongType(field, value, "a string");
			return fallback;
		}
		return value.textValue();
	}

	private <T> T parse(String field, JsonNode value, Function<String, T> parser) {
		if (!value.isTextual()) {
			wrongType(field, value, "a string");
			return null;
		}
		try {
			return parser.apply(value.textValue());
		}
		catch (IllegalArgumentException ex) {
			problem(field, ex.getMessage(), "correct the value");
			return null;
		}
	}

	private long integer(String field, JsonNode value, long min, long max) {
		if (!value.isIntegralNumber()) {
			wrongType(field, value, "an integer");
			return min;
		}
		if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
			outOfRange(field, value, min, max);
			return min;
		}
		return value.longValue();
	}

	private void forEachElement(String field, BiConsumer<String, JsonNode> action) {
		JsonNode value = optional(field);
		if (value == null) {
			return;
		}
		if (!value.isArray()) {
			wrongType(field, value, "an array");
			return;
		}
		for (int index = 0; index < value.size(); index++) {
			action.accept(field + "[" + index + "]", value.get(index));
		}
	}

	private void wrongType(String field, JsonNode value, String expectedType) {
		// Omits the value, which may be a secret written without quotes.
		problem(field, "is " + typeOf(value) + ", not " + expectedType, "use " + expectedType);
	}

	private void outOfRange(String field, JsonNode value, Object min, Object max) {
		problem(field, "is " + describe(value) + ", which is out of range", "use a number from " + min + " to " + max);
	}

	private static String typeOf(JsonNode node) {
		return switch (node.getNodeType()) {
			case NUMBER -> "a number";
			case STRING -> "a string";
			case BOOLEAN -> "a truth value";
			default -> describe(node);
		};
	}

	private static String describe(JsonNode node) {
		return switch (node.getNodeType()) {
			case NUMBER -> "the number " + truncate(node.asText());
			case STRING -> "the string '" + truncate(node.textValue()) + "'";
			case BOOLEAN -> "the truth value " + node.asText();
			case ARRAY -> "an array";
			case OBJECT -> "an object";
			case NULL -> "null";
			default -> "empty";
		};
	}

	private static String truncate(String text) {
		return (text.length() <= 40) ? text : text.substring(0, 40) + "...";
	}

}
