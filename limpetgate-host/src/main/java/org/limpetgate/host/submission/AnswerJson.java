package org.limpetgate.host.submission;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.TaskAnswer;
import org.limpetgate.submission.TaskResult;

/**
 * Writes answers as JSON, and reads those that peers wrote.
 * <p>
 * The body of a task is in {@code body} if it is valid UTF-8 and in {@code bodyBase64}
 * otherwise. Stateless and thread-safe.
 */
public final class AnswerJson {

	private AnswerJson() {
	}

	/**
	 * Writes an answer.
	 * @param answer the answer, not null
	 * @return the JSON, not null
	 */
	public static byte[] write(Answer answer) {
		ObjectNode root = SubmissionJson.mapper().createObjectNode();
		putResult(root, answer.outcome(), answer.error(), answer.message(), answer.retryAfterNanos());
		ArrayNode tasks = root.putArray("tasks");
		for (TaskAnswer task : answer.tasks()) {
			write(task, tasks.addObject());
		}
		return SubmissionJson.toBytes(root);
	}

	private static void write(TaskAnswer task, ObjectNode node) {
		TaskResult result = task.result();
		node.put("id", task.id());
		putResult(node, result.outcome(), result.error(), result.detail(), result.retryAfterNanos());
		if (result.status() != 0) {
			node.put("status", result.status());
		}
		if (result.outcome() == Outcome.COMPLETE) {
			putBody(node, result.body());
		}
	}

	private static void putResult(ObjectNode node, Outcome outcome, ErrorKind error, String message, long retryNanos) {
		node.put("outcome", outcome.text());
		if (error != null) {
			node.put("error", error.name());
		}
		if (!message.isEmpty()) {
			node.put("message", message);
		}
		if (retryNanos > 0) {
			long millis = TimeUnit.NANOSECONDS.toMillis(retryNanos);
			node.put("retryAfterMillis", Math.max(1, millis));
		}
	}

	private static void putBody(ObjectNode node, byte[] body) {
		try {
			node.put("body", StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString());
		}
		catch (CharacterCodingException ex) {
			node.put("bodyBase64", Base64.getEncoder().encodeToString(body));
		}
	}

	/**
	 * Reads an answer that a peer wrote.
	 * @param json the JSON, not null
	 * @return the answer, not null
	 * @throws IllegalArgumentException if the JSON is not an answer
	 */
	public static Answer read(byte[] json) {
		try {
			return read(SubmissionJson.mapper().readTree(json));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the peer's answer is not valid JSON", ex);
		}
	}

	private static Answer read(JsonNode root) {
		List<TaskAnswer> tasks = new ArrayList<>();
		for (JsonNode task : root.path("tasks")) {
			tasks.add(new TaskAnswer(task.path("id").asText(), readResult(task)));
		}
		Outcome outcome = Outcome.parse(root.path("outcome").asText());
		ErrorKind error = readError(root);
		if (outcome == Outcome.COMPLETE) {
			return Answer.complete(tasks);
		}
		String message = root.path("message").asText();
		return (error != null) ? Answer.error(outcome, error, message, readRetryAfter(root), tasks)
				: Answer.accepted(message);
	}

	private static TaskResult readResult(JsonNode task) {
		byte[] body = task.has("bodyBase64") ? Base64.getDecoder().decode(task.get("bodyBase64").asText())
				: task.path("body").asText().getBytes(StandardCharsets.UTF_8);
		return new TaskResult(Outcome.parse(task.path("outcome").asText()), task.path("status").asInt(), body,
				readError(task), task.path("message").asText(), readRetryAfter(task));
	}

	private static ErrorKind readError(JsonNode node) {
		return node.has("error") ? ErrorKind.valueOf(node.get("error").asText()) : null;
	}

	private static long readRetryAfter(JsonNode node) {
		return TimeUnit.MILLISECONDS.toNanos(node.path("retryAfterMillis").asLong());
	}

}
