import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads single fields of the flat bodies that the stand-ins receive. */
final class Json {

	private Json() {
	}

	static long number(String body, String field, long fallback) {
		Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?[0-9]+)").matcher(body);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : fallback;
	}

	static String text(String body, String field) {
		Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(body);
		return matcher.find() ? matcher.group(1) : "";
	}

}
