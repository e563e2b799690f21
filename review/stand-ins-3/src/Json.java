import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, numbers, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(byte[] body) {
		Json json = new Json(new String(body, StandardCharsets.UTF_8));
		Object value = json.value();
		return (value instanceof Map) ? (Map<String, Object>) value : Map.of();
	}

	static long number(Map<String, Object> object, String field) {
		Object value = object.get(field);
		return (value instanceof Number number) ? number.longValue() : 0;
	}

	static String text(Map<String, Object> object, String field) {
		Object value = object.get(field);
		return (value instanceof String string) ? string : "";
	}

	private char peek() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		if (this.at >= this.text.length()) {
			throw new IllegalArgumentException("JSON ends early");
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char first = peek();
		if (first == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			while (peek() != '}') {
				String key = string();
				peek();
				this.at++;
				map.put(key, value());
				if (peek() == ',') {
					this.at++;
				}
			}
			this.at++;
			return map;
		}
		if (first == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			while (peek() != ']') {
				list.add(value());
				if (peek() == ',') {
					this.at++;
				}
			}
			this.at++;
			return list;
		}
		if (first == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\t\r".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> (word.matches("-?[0-9]{1,18}")) ? (Object) Long.parseLong(word) : Double.parseDouble(word);
		};
	}

	private String string() {
		peek();
		StringBuilder result = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char next = this.text.charAt(this.at++);
			if (next == '\\') {
				char escaped = this.text.charAt(this.at++);
				switch (escaped) {
					case 'n' -> result.append('\n');
					case 't' -> result.append('\t');
					case 'r' -> result.append('\r');
					case 'b' -> result.append('\b');
					case 'f' -> result.append('\f');
					case 'u' -> {
						result.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> result.append(escaped);
				}
			}
			else {
				result.append(next);
			}
		}
		this.at++;
		return result.toString();
	}

	static String quote(String value) {
		return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
	}

}
