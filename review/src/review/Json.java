package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: maps, lists, strings, numbers (Long or Double), booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		return json.value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	static long integer(Map<String, Object> object, String field, long absent) {
		Object value = object.get(field);
		return (value instanceof Number number) ? number.longValue() : absent;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String comma = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(comma);
				write(entry.getKey().toString(), out);
				out.append(':');
				write(entry.getValue(), out);
				comma = ",";
			}
			out.append('}');
		}
		else if (value instanceof List<?> list) {
			out.append('[');
			String comma = "";
			for (Object element : list) {
				out.append(comma);
				write(element, out);
				comma = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			out.append('"');
			for (char c : string.toCharArray()) {
				if (c == '"' || c == '\\') {
					out.append('\\').append(c);
				}
				else if (c < ' ') {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

	private void space() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

	private Object value() {
		space();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != '}') {
				String key = string();
				space();
				this.at++;
				map.put(key, value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					space();
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			space();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				space();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					space();
				}
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> (word.matches("-?[0-9]+")) ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 'r' -> out.append('\r');
				case 't' -> out.append('\t');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		this.at++;
		return out.toString();
	}

}
