package org.limpetgate.host.submission;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.submission.Answer;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmittedTask;
import org.limpetgate.submission.TaskAnswer;
import org.limpetgate.submission.TaskResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link SubmissionJson} and {@link AnswerJson}.
 */
class SubmissionJsonTests {

	private static final CallerId CALLER = CallerId.of("caller");

	private static final String COMMON_FIELDS = "'key': 'k', 'expiry': '2030-01-31T10:15:30.5Z', ";

	private static final String TASK = "{'id': 'a', 'path': '/p'}";

	/** Each case gives the JSON and the beginning of the expected message. */
	private static final String[][] INVALID = { { "", "$: must be an object" }, { "[]", "$: must be an object" },
			{ "{", "$: not valid JSON at line 1" }, { "{} {}", "$: not valid JSON" },
			{ "{'key': 'k', 'key': 'l'}", "$: not valid JSON" }, { "{'kee': 1}", "$.kee: is not a known field" },
			{ "{'expiry': '2030-01-31T10:15:30Z', 'tasks': []}", "$.key: is missing" },
			{ "{'key': 'k', 'tasks': []}", "$.expiry: is missing" }, { "{'key': 'a b'}", "$.key: SubmissionKey" },
			{ "{'key': 7}", "$.key: must be a string" },
			{ "{'key': 'k', 'expiry': 'soon'}", "$.expiry: 'soon' is not an ISO-8601 instant" },
			{ "{'key': 'k', 'expiry': '+999999999-01-01T00:00:00Z'}", "$.expiry: " },
			{ "{" + COMMON_FIELDS + "'attempt': 0}", "$.attempt: must be a whole number" },
			{ "{" + COMMON_FIELDS + "'attempt': 1.5}", "$.attempt: must be a whole number" },
			{ "{" + COMMON_FIELDS + "'wait': 'yes'}", "$.wait: must be true or false" },
			{ "{" + COMMON_FIELDS + "'wait': true}", "$.tasks: must be an array" },
			{ "{" + COMMON_FIELDS + "'tasks': []}", "$.tasks: must be an array" },
			{ "{" + COMMON_FIELDS + "'tasks': [1]}", "$.tasks[0]: must be an object" },
			{ tasks("'path': '/p'"), ".id: is missing" }, { tasks("'id': ''"), ".id: must have 1 to 128" },
			{ tasks("'id': 'a'"), ".path: is missing" },
			{ tasks("'id': 'a', 'path': 'p'"), ".path: must begin with /" },
			{ tasks("'id': 'a', 'path': '/p q'"), ".path: must begin with /" },
			{ tasks("'id': 'a', 'path': '/p', 'method': 'post'"), ".method: 'post' is not" },
			{ tasks("'id': 'a', 'path': '/p', 'retries': 3"), ".retries: is not a known field" },
			{ tasks("'id': 'a', 'path': '/p', 'headers': []"), ".headers: must be an object" },
			{ tasks("'id': 'a', 'path': '/p', 'headers': {'x': 1}"), ".headers.x: must be a string" },
			{ tasks("'id': 'a', 'path': '/p', 'headers': {'x': '1\\r\\ny: 2'}"), ".headers.x: is not a valid" },
			{ tasks("'id': 'a', 'path': '/p', 'headers': {'x': '1', 'X': '2'}"), ".headers.X: occurs twice" },
			{ tasks("'id': 'a', 'path': '/p', 'body': 'a', 'bodyBase64': 'YQ=='"), ".bodyBase64: cannot stand" },
			{ tasks("'id': 'a', 'path': '/p', 'bodyBase64': '?'"), ".bodyBase64: is not valid Base64" },
			{ tasks("'id': 'a', 'path': '/p', 'pool': ''"), ".pool: PoolName" },
			{ tasks("'id': 'a', 'path': '/p', 'idempotent': 1"), ".idempotent: must be true or false" },
			{ tasks("'id': 'a', 'path': '/p', 'resources': {'gpus': 1}"), ".resources.gpus: is not a known" },
			{ tasks("'id': 'a', 'path': '/p', 'resources': {'cores': -1}"), ".resources.cores: must be" },
			{ tasks("'id': 'a', 'path': '/p', 'resources': {'memoryMb': 1e99}"), ".resources.memoryMb: must be" },
			{ tasks("'id': 'a', 'path': '/p', 'runMillis': -1"), ".runMillis: must be a whole number" },
			{ "{" + COMMON_FIELDS + "'tasks': [" + TASK + "," + TASK + "]}",
					"$.tasks[1].id: 'a' is also the id of $.tasks[0]" } };

	private static String tasks(String fields) {
		return "{" + COMMON_FIELDS + "'tasks': [{" + fields + "}]}";
	}

	private static Submission read(String json) {
		return SubmissionJson.read(CALLER, json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	/** Guards against fields that are silently ignored or misread. */
	@Example
	void reportsEachInvalidField() {
		for (String[] testCase : INVALID) {
			DispatchException error = catchThrowableOfType(DispatchException.class, () -> read(testCase[0]));
			assertThat(error).as(testCase[0]).isNotNull();
			assertThat(error.kind()).as(testCase[0]).isEqualTo(ErrorKind.INVALID_SUBMISSION);
			String path = testCase[1].startsWith(".") ? "$.tasks[0]" + testCase[1] : testCase[1];
			assertThat(error.getMessage()).startsWith(path).endsWith(ErrorKind.INVALID_SUBMISSION.remedy());
			assertThat(error.outcome()).as(testCase[0]).isEqualTo(Outcome.UNKNOWN);
		}
	}

	/** Guards against the outcome "not run" for a resubmission whose body was damaged. */
	@Example
	void onlyADeclaredFirstAttemptIsNotRun() {
		DispatchException error = catchThrowableOfType(DispatchException.class,
				() -> read("{" + COMMON_FIELDS + "'attempt': 1, 'tasks': []}"));
		assertThat(error.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Example
	void rejectsMoreThan610Tasks() {
		for (int count : new int[] { 1, 610, 611 }) {
			String tasks = IntStream.range(0, count)
				.mapToObj((i) -> "{'id': '" + i + "', 'path': '/p'}")
				.collect(Collectors.joining(","));
			String json = "{" + COMMON_FIELDS + "'tasks': [" + tasks + "]}";
			if (count <= Submission.MAX_TASKS) {
				assertThat(read(json).tasks()).hasSize(count);
			}
			else {
				assertThat(catchThrowableOfType(DispatchException.class, () -> read(json)).kind())
					.isEqualTo(ErrorKind.TOO_MANY_TASKS);
			}
		}
	}

	/** Guards against a peer that computes another fingerprint than the first host. */
	@Example
	void writtenSubmissionReadsBackEqual() {
		Submission submission = read("{" + COMMON_FIELDS + "'attempt': 2, 'wait': false, 'tasks': [" + TASK
				+ ", {'id': 'b', 'method': 'PUT', 'path': '/q?x=1', 'headers': {'X-A': 'ä'}, 'bodyBase64': '/w=='"
				+ ", 'pool': 'runners', 'idempotent': true, 'runMillis': 100"
				+ ", 'resources': {'cores': 0.5, 'memoryMb': 64, 'accelerators': 1}}]}");
		Submission copy = SubmissionJson.read(CALLER, SubmissionJson.write(submission));
		assertThat(copy.fingerprint()).isEqualTo(submission.fingerprint());
		assertThat(copy.keyHash()).isEqualTo(submission.keyHash());
		assertThat(copy.attempt()).isEqualTo(2);
		assertThat(copy.isSynchronous()).isFalse();
		assertThat(copy.expiryNanos()).isEqualTo(submission.expiryNanos());
		SubmittedTask task = copy.tasks().get(1);
		assertThat(task.body()).containsExactly(0xff);
		assertThat(task).usingRecursiveComparison().isEqualTo(submission.tasks().get(1));
	}

	/** Guards against an answer that loses an outcome or a body between two hosts. */
	@Example
	void writtenAnswerReadsBackEqual() {
		TaskAnswer binary = new TaskAnswer("a", TaskResult.complete(201, new byte[] { (byte) 0xff, 0 }));
		TaskAnswer text = new TaskAnswer("b", TaskResult.complete(200, "ö\n".getBytes(StandardCharsets.UTF_8)));
		TaskAnswer lost = new TaskAnswer("c",
				TaskResult.incomplete(Outcome.UNKNOWN, ErrorKind.UPSTREAM_FAILED, "connection reset", 3_000_000));
		List<Answer> answers = List.of(Answer.complete(List.of(binary, text)), Answer.accepted("running"),
				Answer.error(Outcome.FAILED, ErrorKind.TASK_FAILED, "task 'c'", 5_000_000, List.of(binary, lost)),
				Answer.refusal(Outcome.NOT_RUN, ErrorKind.OVERLOADED, "full", 1_000_000_000));
		for (Answer answer : answers) {
			Answer copy = AnswerJson.read(AnswerJson.write(answer));
			assertThat(copy).usingRecursiveComparison().isEqualTo(answer);
			assertThat(copy.httpStatus()).isEqualTo(answer.httpStatus());
		}
	}

}
