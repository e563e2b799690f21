package org.limpetgate.standin;

import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.limpetgate.net.http.HttpCall;

/**
 * The decoded path and query of a request.
 *
 * @param segments the segments of the path
 * @param parameters the parameters
 */
record Query(List<String> segments, Map<String, List<String>> parameters) {

	static Query of(HttpCall call) {
		List<String> segments = List.of(call.path().substring(1).split("/"))
			.stream()
			.map((segment) -> QueryStringDecoder.decodeComponent(segment))
			.toList();
		return new Query(segments, new QueryStringDecoder(call.target()).parameters());
	}

	boolean startsWith(String... prefix) {
		return this.segments.size() >= prefix.length && this.segments.subList(0, prefix.length).equals(List.of(prefix));
	}

	String segment(int index) {
		if (index >= this.segments.size()) {
			throw new IllegalArgumentException("the path is too short; see docs/platform-protocol.md");
		}
		return this.segments.get(index);
	}

	String text(String name) {
		List<String> values = this.parameters.getOrDefault(name, List.of());
		if (values.size() != 1) {
			throw new IllegalArgumentException("give the parameter '" + name + "' exactly once");
		}
		return values.get(0);
	}

	String optionalText(String name) {
		return this.parameters.containsKey(name) ? text(name) : "";
	}

	long number(String name, long min, long max) {
		long value = Long.parseLong(text(name));
		if (value < min || value > max) {
			throw new IllegalArgumentException(
					"the parameter '" + name + "' must be from " + min + " to " + max + ", not " + value);
		}
		return value;
	}

}
