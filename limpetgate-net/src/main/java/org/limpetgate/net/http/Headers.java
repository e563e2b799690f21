package org.limpetgate.net.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Converts between Netty's headers and those of {@link HttpCall} and {@link HttpReply},
 * and validates the headers that delimit the body of a message.
 */
final class Headers {

	/**
	 * Headers that apply to one connection only (RFC 9110, 7.6.1) or delimit the body.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"content-length");

	/** At most 18 digits, so that the length fits into a long. */
	private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

	private Headers() {
	}

	static Map<String, String> toMap(HttpHeaders headers) {
		Set<String> dropped = connectionOptions(headers.getAll(HttpHeaderNames.CONNECTION));
		Map<String, String> map = new HashMap<>();
		headers.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
				// RFC 6265, 5.4: cookies are joined with a semicolon.
				String separator = name.equals("cookie") ? "; " : ", ";
				map.merge(name, header.getValue(), (first, second) -> first + separator + second);
			}
		});
		return map;
	}

	static void addAll(Map<String, String> from, HttpHeaders to) {
		Set<String> dropped = connectionOptions(List.of(from.getOrDefault("connection", "")));
		from.forEach((name, value) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(lower) && !dropped.contains(lower)) {
				to.add(lower, value);
			}
		});
	}

	static boolean hasConnectionOption(HttpHeaders headers, String option) {
		return connectionOptions(headers.getAll(HttpHeaderNames.CONNECTION)).contains(option);
	}

	private static Set<String> connectionOptions(List<String> values) {
		Set<String> options = new HashSet<>();
		for (String value : values) {
			for (String option : value.split(",")) {
				options.add(option.strip().toLowerCase(Locale.ROOT));
			}
		}
		return options;
	}

	/**
	 * Validates the headers that delimit the body.
	 * @param headers the headers
	 * @return what is wrong, or null
	 */
	static String framingFault(HttpHeaders headers) {
		List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
		List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!lengths.isEmpty() && !encodings.isEmpty()) {
			return "the head has both Content-Length and Transfer-Encoding";
		}
		if (lengths.size() > 1) {
			return "the head has more than one Content-Length";
		}
		if (lengths.size() == 1 && !LENGTH.matcher(lengths.get(0)).matches()) {
			return "Content-Length is not a number of bytes";
		}
		if (encodings.size() > 1 || (encodings.size() == 1 && !encodings.get(0).equalsIgnoreCase("chunked"))) {
			return "Transfer-Encoding is not 'chunked'";
		}
		return null;
	}

	/**
	 * Returns the declared length of the body.
	 * @param headers the headers, without a framing fault
	 * @return the length in bytes, -1 if the body is chunked or no length is declared
	 */
	static long contentLength(HttpHeaders headers) {
		String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		return (length != null) ? Long.parseLong(length) : -1;
	}

}
