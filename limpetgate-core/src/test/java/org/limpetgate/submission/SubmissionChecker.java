package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.limpetgate.Outcome;

/**
 * Compares the answers that callers received with the task starts at the upstreams.
 * <p>
 * It observes the requests of callers, the task starts at upstreams and the answers to
 * callers, and is independent of claims.
 */
final class SubmissionChecker {

	private final Map<KeyHash, KeyHistory> keys = new HashMap<>();

	private final Map<Long, Request> requests = new HashMap<>();

	private String violation;

	long starts;

	long answers;

	final Map<String, Integer> answersByKind = new TreeMap<>();

	String violation() {
		return this.violation;
	}

	void fail(String message) {
		if (this.violation == null) {
			this.violation = message;
		}
	}

	void sent(long id, Submission submission, long atNanos) {
		Request request = new Request(id, submission, atNanos);
		this.requests.put(id, request);
		historyOf(submission).requests.add(request);
	}

	void delivered(long id, long atNanos) {
		this.requests.get(id).deliveredNanos = atNanos;
	}

	private KeyHistory historyOf(Submission submission) {
		return this.keys.computeIfAbsent(submission.keyHash(), (key) -> new KeyHistory());
	}

	void started(Submission submission, int index, long atNanos) {
		this.starts++;
		KeyHistory history = historyOf(submission);
		SubmittedTask task = submission.tasks().get(index);
		history.starts.add(atNanos);
		int count = history.startsByTask.merge(taskName(submission, task.id()), 1, Integer::sum);
		if (count > 1 && !task.idempotent()) {
			fail("task " + task.id() + " of key " + submission.key() + " started " + count + " times");
		}
		if (history.requests.stream().noneMatch((request) -> request.mayStartAt(atNanos))) {
			fail("key " + submission.key() + " started although every request was answered with not-run");
		}
	}

	void completed(Submission submission, int index, byte[] body) {
		String name = taskName(submission, submission.tasks().get(index).id());
		historyOf(submission).bodies.computeIfAbsent(name, (key) -> new ArrayList<>())
			.add(new String(body, StandardCharsets.UTF_8));
	}

	void answered(long id, Answer answer, long atNanos) {
		this.answers++;
		String error = (answer.error() != null) ? " " + answer.error() : "";
		this.answersByKind.merge(answer.outcome().text() + error, 1, Integer::sum);
		Request request = this.requests.get(id);
		if (request.answered) {
			fail("request " + id + " was answered twice");
		}
		request.answered = true;
		KeyHistory history = historyOf(request.submission);
		switch (answer.outcome()) {
			case COMPLETE -> checkComplete(request, history, answer);
			case NOT_RUN -> checkNotRun(request, history, atNanos);
			default -> checkError(request, history, answer);
		}
	}

	private void checkComplete(Request request, KeyHistory history, Answer answer) {
		List<SubmittedTask> tasks = request.submission.tasks();
		if (answer.tasks().size() != tasks.size()) {
			fail("request " + request.id + " received a partial answer");
			return;
		}
		for (int i = 0; i < tasks.size(); i++) {
			TaskAnswer task = answer.tasks().get(i);
			List<String> bodies = history.bodies.getOrDefault(taskName(request.submission, tasks.get(i).id()),
					List.of());
			boolean matches = task.id().equals(tasks.get(i).id()) && task.result().outcome() == Outcome.COMPLETE
					&& bodies.contains(new String(task.result().body(), StandardCharsets.UTF_8));
			if (!matches) {
				fail("request " + request.id + " received a result that no run produced for task " + tasks.get(i).id());
			}
		}
	}

	private void checkError(Request request, KeyHistory history, Answer answer) {
		if (answer.tasks().isEmpty()) {
			return;
		}
		if (answer.tasks().size() != request.submission.tasks().size()) {
			fail("request " + request.id + " received a failed answer without the outcome of each task");
		}
		for (TaskAnswer task : answer.tasks()) {
			boolean started = history.startsByTask.containsKey(taskName(request.submission, task.id()));
			if (task.result().outcome() == Outcome.NOT_RUN && started && !request.submission.isIdempotent()) {
				fail("task " + task.id() + " of request " + request.id + " started but was answered with not-run");
			}
		}
	}

	private void checkNotRun(Request request, KeyHistory history, long atNanos) {
		request.notRunNanos = atNanos;
		for (long start : history.starts) {
			boolean earlier = start <= request.sentNanos;
			boolean explained = history.requests.stream()
				.anyMatch((other) -> other != request && other.mayStartAt(start));
			if (earlier || !explained) {
				fail("request " + request.id + " (attempt " + request.submission.attempt() + ") of key "
						+ request.submission.key() + " was answered with not-run after a start");
				return;
			}
		}
	}

	// Removes the history of a key that can neither be started nor submitted again.
	void removeHistory(KeyHash key) {
		KeyHistory history = this.keys.remove(key);
		if (history != null) {
			history.requests.forEach((request) -> this.requests.remove(request.id));
		}
	}

	boolean isKnown(long id) {
		return this.requests.containsKey(id);
	}

	private static String taskName(Submission submission, String task) {
		return submission.fingerprint() + "/" + task;
	}

	private static final class KeyHistory {

		private final List<Request> requests = new ArrayList<>();

		private final List<Long> starts = new ArrayList<>();

		private final Map<String, Integer> startsByTask = new HashMap<>();

		private final Map<String, List<String>> bodies = new HashMap<>();

	}

	private static final class Request {

		private final long id;

		private final Submission submission;

		private final long sentNanos;

		private long deliveredNanos = Long.MAX_VALUE;

		private boolean answered;

		private long notRunNanos = Long.MAX_VALUE;

		Request(long id, Submission submission, long sentNanos) {
			this.id = id;
			this.submission = submission;
			this.sentNanos = sentNanos;
		}

		boolean mayStartAt(long startNanos) {
			return this.deliveredNanos <= startNanos && startNanos < this.notRunNanos;
		}

	}

}
