package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the runners saw of each task. Thread-safe. */
final class Events {

	private final Record record;

	private final Map<String, List<Run>> runs = new LinkedHashMap<>();

	Events(Record record) {
		this.record = record;
	}

	synchronized void started(String runner, String task, int attempt, String spec) {
		Run run = new Run(runner, attempt, System.nanoTime());
		this.runs.computeIfAbsent(task, (key) -> new ArrayList<>()).add(run);
		this.record.add("%s starts %s attempt %d", runner, task, attempt);
	}

	synchronized void ended(String runner, String task, int attempt, String how) {
		Run run = find(runner, task, attempt);
		run.how = how;
		run.endNanos = System.nanoTime();
		this.record.add("%s ends %s attempt %d %s", runner, task, attempt, how);
	}

	/** A run is gone with its runner, which lists no end. */
	synchronized void lost(String runner, String task, int attempt) {
		ended(runner, task, attempt, "lost");
	}

	synchronized void acknowledged(String runner, String task, int attempt, String how, boolean lapsed) {
		Run run = find(runner, task, attempt);
		run.notedNanos = lapsed ? 0 : System.nanoTime();
		this.record.add("%s has %s attempt %d %s taken note of%s", runner, task, attempt, how,
				lapsed ? " (after a lapse of its lease)" : "");
	}

	private Run find(String runner, String task, int attempt) {
		List<Run> all = this.runs.get(task);
		for (int index = all.size() - 1; index >= 0; index--) {
			if (all.get(index).runner.equals(runner) && all.get(index).attempt == attempt) {
				return all.get(index);
			}
		}
		throw new IllegalStateException("no run of " + task);
	}

	synchronized Map<String, List<Run>> runs() {
		return new LinkedHashMap<>(this.runs);
	}

	/** The number of starts of the tasks of a job. */
	synchronized long starts(String job) {
		return this.runs.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(job + "."))
			.mapToLong((entry) -> entry.getValue().size())
			.sum();
	}

	synchronized boolean hasFailed(String task) {
		return this.runs.getOrDefault(task, List.of()).stream().anyMatch((run) -> "failed".equals(run.how));
	}

	/** The most runs of one task of a job that ended as failed. */
	synchronized long mostFailures(String job) {
		return this.runs.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(job + "."))
			.mapToLong((entry) -> entry.getValue().stream().filter((run) -> "failed".equals(run.how)).count())
			.max()
			.orElse(0);
	}

	/**
	 * Finds the starts that break TWICE: beside another run of the task, or after a run
	 * that ended as done, if that end was taken note of then or later.
	 */
	synchronized List<String> twice() {
		List<String> broken = new ArrayList<>();
		this.runs.forEach((task, all) -> {
			for (Run later : all) {
				for (Run earlier : all) {
					if (earlier == later || earlier.startNanos > later.startNanos) {
						continue;
					}
					boolean beside = earlier.endNanos == 0 || earlier.endNanos > later.startNanos;
					boolean afterDone = "done".equals(earlier.how) && earlier.endNanos <= later.startNanos
							&& earlier.notedNanos != 0;
					if (beside || afterDone) {
						broken.add(String.format("%s: attempt %d on %s starts %s attempt %d on %s", task, later.attempt,
								later.runner, beside ? "beside" : "after the noted end of", earlier.attempt,
								earlier.runner));
					}
				}
			}
		});
		return broken;
	}

	/** One run of a task. */
	static final class Run {

		final String runner;

		final int attempt;

		final long startNanos;

		/** How it ended, null while it is at work. */
		String how;

		long endNanos;

		/** When its end was taken note of, 0 if it was not. */
		long notedNanos;

		Run(String runner, int attempt, long startNanos) {
			this.runner = runner;
			this.attempt = attempt;
			this.startNanos = startNanos;
		}

	}

}
