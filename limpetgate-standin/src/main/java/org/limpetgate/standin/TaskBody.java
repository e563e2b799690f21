package org.limpetgate.standin;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The parsed body of a task, which controls its simulated run. A body that is a JSON
 * object may have the fields {@code id}, {@code runMillis} and {@code fail}; for other
 * bodies the defaults apply.
 *
 * @param id the id under which the start is counted, empty for none
 * @param runMillis the run time at speed 1 with all cores, in milliseconds
 * @param fail whether the task fails at its end
 */
record TaskBody(String id, long runMillis, boolean fail) {

	private static final long MAX_RUN_MILLIS = 3_600_000;

	static TaskBody parse(byte[] body, long defaultRunMillis) {
		JsonNode root = read(body);
		long runMillis = root.path("runMillis").asLong(defaultRunMillis);
		if (runMillis < 0 || runMillis > MAX_RUN_MILLIS) {
			throw new IllegalArgumentException("runMillis must be from 0 to " + MAX_RUN_MILLIS);
		}
		return new TaskBody(root.path("id").asText(""), runMillis, root.path("fail").asBoolean(false));
	}

	private static JsonNode read(byte[] body) {
		if (body.length == 0 || body[0] != '{') {
			return StandInResponse.JSON.createObjectNode();
		}
		try {
			return StandInResponse.JSON.readTree(body);
		}
		catch (IOException ex) {
			return StandInResponse.JSON.createObjectNode();
		}
	}

}
