package org.limpetgate.net.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetgate.Resources;
import org.limpetgate.net.http.HeaderNames;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.platform.LeaseState;
import org.limpetgate.platform.LeaseStatus;
import org.limpetgate.platform.WorkerUsage;

/**
 * The responses of workers, as {@code docs/platform-protocol.md} describes them.
 */
public final class WorkerCodec {

	private static final String STATE_HEADER = "lease-state";

	private static final String RUN_HEADER = "lease-run-nanos";

	private static final String REMAINING_HEADER = "lease-remaining-nanos";

	private static final int STATUS_OK = 200;

	private WorkerCodec() {
	}

	/**
	 * Encodes the state of a lease.
	 * @param status the state, not null
	 * @return the response, not null
	 */
	public static HttpReply encodeStatus(LeaseStatus status) {
		return new HttpReply(STATUS_OK,
				Map.of("content-type", "application/octet-stream", STATE_HEADER, status.state().text(), RUN_HEADER,
						Long.toString(status.runNanos()), REMAINING_HEADER, Long.toString(status.remainingNanos()),
						HeaderNames.LEAVING, Boolean.toString(status.leaving())),
				status.response());
	}

	/**
	 * Decodes the state of a lease.
	 * @param reply the response, not null
	 * @return the state, not null
	 * @throws IllegalArgumentException if a header is missing or malformed
	 */
	public static LeaseStatus decodeStatus(HttpReply reply) {
		return new LeaseStatus(LeaseState.parse(reply.header(STATE_HEADER)), reply.body(),
				Long.parseLong(reply.header(RUN_HEADER)), Long.parseLong(reply.header(REMAINING_HEADER)),
				Boolean.parseBoolean(reply.header(HeaderNames.LEAVING)));
	}

	/**
	 * Encodes the resource usage of a worker.
	 * @param usage the usage, not null
	 * @return the JSON, not null
	 */
	public static byte[] encodeUsage(WorkerUsage usage) {
		ObjectNode root = PlatformReplies.JSON.createObjectNode();
		write(root.putObject("capacity"), usage.capacity());
		write(root.putObject("used"), usage.used());
		root.put("running", usage.running());
		root.put("ageMillis", TimeUnit.NANOSECONDS.toMillis(usage.ageNanos()));
		return root.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes the resource usage of a worker.
	 * @param body the JSON, not null
	 * @return the usage, not null
	 * @throws IOException if the body is not JSON
	 * @throws IllegalArgumentException if a field is missing
	 */
	public static WorkerUsage decodeUsage(byte[] body) throws IOException {
		JsonNode root = PlatformReplies.JSON.readTree(body);
		return new WorkerUsage(readResources(root.path("capacity")), readResources(root.path("used")),
				(int) number(root, "running"), TimeUnit.MILLISECONDS.toNanos((long) number(root, "ageMillis")));
	}

	private static void write(ObjectNode node, Resources resources) {
		node.put("cores", resources.cores())
			.put("memoryMb", resources.memoryMb())
			.put("accelerators", resources.accelerators());
	}

	private static Resources readResources(JsonNode node) {
		return new Resources(number(node, "cores"), (long) number(node, "memoryMb"),
				(int) number(node, "accelerators"));
	}

	private static double number(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isNumber()) {
			throw new IllegalArgumentException("the field '" + field + "' is missing or not a number");
		}
		return value.asDouble();
	}

}
