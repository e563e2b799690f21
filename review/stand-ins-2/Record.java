import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What clients sent and were answered, and what runners ran, with the rules that are checked on
 * it. Written to a file as it happens. Thread-safe.
 */
final class Record {

	/** A run of a task, from its start to its end. */
	private static final class Run {

		final String worker;

		final String task;

		final int attempt;

		final long startMs;

		long endMs = -1;

		String how = "";

		boolean lapsedAfterEnd;

		boolean noted;

		Run(String worker, String task, int attempt, long startMs) {
			this.worker = worker;
			this.task = task;
			this.attempt = attempt;
			this.startMs = startMs;
		}

	}

	private static final class JobLog {

		final Job job;

		final List<Integer> submitAnswers = new ArrayList<>();

		long acceptedMs = -1;

		long cancelSentMs = -1;

		long cancelledMs = -1;

		final Map<String, Long> shown = new LinkedHashMap<>();

		JobLog(Job job) {
			this.job = job;
		}

	}

	private static final long VISIBLE_MS = 3000;

	private static final long IDLE_MS = 3000;

	private static final long LASTING_RESTART_MS = 6000;

	private static final long CALM_BEFORE_MS = 4000;

	private static final long CONTACT_MS = 3000;

	private static final long CANCEL_MS = 3000;

	private static final long STOP_TIMEOUT_MS = 50;

	private static final long NOTED_AFTER_MS = 100;

	private final long originMs = Main.now();

	private final PrintWriter out;

	private final List<Run> runs = new ArrayList<>();

	private final Map<String, JobLog> jobs = new LinkedHashMap<>();

	private final Set<String> broken = new HashSet<>();

	private int attempts = 2;

	/** When the last disruption ended, in milliseconds of the steady clock. */
	private long disturbedMs = Long.MIN_VALUE / 2;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	void setAttempts(int value) {
		this.attempts = value;
	}

	synchronized void disturbed() {
		this.disturbedMs = Main.now();
	}

	synchronized void note(String format, Object... arguments) {
		this.out.printf("%7d ms  %s%n", Main.now() - this.originMs, String.format(format, arguments));
	}

	synchronized void broken(String rule, String format, Object... arguments) {
		String text = rule + " " + String.format(format, arguments);
		if (this.broken.add(text)) {
			note("BROKEN %s", text);
			System.out.println("BROKEN " + text);
		}
	}

	synchronized int brokenCount() {
		return this.broken.size();
	}

	synchronized void created(Job job) {
		this.jobs.put(job.id, new JobLog(job));
	}

	synchronized void submitted(Job job, int status, String text) {
		JobLog log = this.jobs.get(job.id);
		note("CLIENT POST %s answered %s %s", job.id, (status == 0) ? "not at all" : status, text);
		log.submitAnswers.add(status);
		if (status / 100 == 2 && log.acceptedMs < 0) {
			log.acceptedMs = Main.now();
		}
	}

	synchronized void cancelSent(Job job) {
		this.jobs.get(job.id).cancelSentMs = Main.now();
	}

	synchronized void cancelled(Job job, int status) {
		note("CLIENT DELETE %s answered %d", job.id, status);
		JobLog log = this.jobs.get(job.id);
		if ((status / 100 == 2 || status == 410) && log.cancelledMs < 0) {
			log.cancelledMs = Main.now();
		}
	}

	synchronized void shown(Job job, int status, String state, String host, boolean hostInTouch) {
		JobLog log = this.jobs.get(job.id);
		String text = (status == 200) ? state : Integer.toString(status);
		if (log.shown.put(text, Main.now()) == null) {
			note("CLIENT GET %s at %s answered %s", job.id, host, text);
		}
		if (status == 410 && hostInTouch && log.acceptedMs >= 0 && log.cancelSentMs < 0
				&& Main.now() - log.acceptedMs > VISIBLE_MS) {
			broken("LOST", "accepted job %s is answered 410 by %s", job.id, host);
		}
		if (state.equals("completed")) {
			for (String task : tasks(job)) {
				if (this.runs.stream().noneMatch((run) -> run.task.equals(task) && run.how.equals("done"))) {
					broken("MIXED", "job %s is shown as completed, and task %s has not ended done", job.id, task);
				}
			}
		}
		if (state.equals("failed")) {
			boolean cause = tasks(job).stream().anyMatch((task) -> failedEnds(task) >= this.attempts);
			if (!cause) {
				broken("LOST", "accepted job %s is shown as failed without cause: of its tasks, the most ends 'failed' are"
						+ " %d, and the queue has attempts %d", job.id,
						tasks(job).stream().mapToLong(this::failedEnds).max().orElse(0), this.attempts);
			}
		}
		if (state.equals("canceled") && log.cancelSentMs < 0) {
			broken("LOST", "job %s is shown as canceled, and nobody cancelled it", job.id);
		}
	}

	// Checks a number of pending jobs against the accepted jobs of which no task has started.
	synchronized void pendingShown(int pending, String host, boolean hostInTouch) {
		long waiting = this.jobs.values()
			.stream()
			.filter((log) -> !log.job.bestEffort && log.acceptedMs >= 0 && log.cancelSentMs < 0
					&& Main.now() - log.acceptedMs > VISIBLE_MS + 2000 && startsOf(log.job) == 0)
			.count();
		note("CLIENT GET pendingJobs at %s answered %d; accepted over 5 s before and not begun: %d", host, pending,
				waiting);
		if (hostInTouch && 2 * pending < waiting) {
			broken("MIXED", "%s gives %d as pendingJobs, and %d jobs that were accepted over visible_ms + 2 s before"
					+ " haven't begun", host, pending, waiting);
		}
	}

	private long failedEnds(String task) {
		return this.runs.stream().filter((run) -> run.task.equals(task) && run.how.equals("failed")).count();
	}

	private static List<String> tasks(Job job) {
		List<String> tasks = new ArrayList<>();
		for (int step = 0; step < job.steps.size(); step++) {
			for (int index = 0; index < job.steps.get(step).count(); index++) {
				tasks.add(job.id + ".0." + step + "." + index);
			}
		}
		return tasks;
	}

	// Records a start and returns whether the run is one of those that fail.
	synchronized boolean started(String worker, String task, int attempt, String spec, long token, String checkpoint) {
		note("RUNNER %s starts %s attempt %d token %d", worker, task, attempt, token);
		JobLog log = this.jobs.get(task.split("\\.")[0]);
		if (log == null || !spec.equals(log.job.taskSpec()) || !tasks(log.job).contains(task)) {
			broken("UNASKED", "runner %s is told to start %s with taskSpec '%s', which no client sent", worker, task, spec);
			return false;
		}
		long now = Main.now();
		long earlier = 0;
		for (Run run : this.runs) {
			if (run.task.equals(task)) {
				earlier++;
				if (run.endMs < 0) {
					broken("TWICE", "two runs of %s at the same time, on %s and %s", task, run.worker, worker);
				}
				if (run.how.equals("done") && (run.noted || !run.lapsedAfterEnd) && !log.job.bestEffort
						&& !log.job.steps.get(step(task)).perpetual()) {
					note("NOTE start of %s after its end done on %s, noted=%s", task, run.worker, run.noted);
					if (run.noted) {
						broken("TWICE", "a start of %s on %s after its run %d on %s has ended done and was taken note of",
								task, worker, run.attempt, run.worker);
					}
				}
			}
		}
		for (int before : log.job.steps.get(step(task)).after()) {
			for (int index = 0; index < log.job.steps.get(before).count(); index++) {
				String needed = log.job.id + ".0." + before + "." + index;
				if (this.runs.stream().noneMatch((run) -> run.task.equals(needed) && run.how.equals("done"))) {
					broken("ORDER", "a start of %s before %s has ended done", task, needed);
				}
			}
		}
		if (log.job.steps.get(step(task)).perpetual()) {
			checkLasting(log, task);
		}
		long failed = this.runs.stream()
			.filter((run) -> run.task.equals(task) && run.how.equals("failed") && run.noted)
			.count();
		if (failed >= this.attempts && !log.job.bestEffort && !log.job.steps.get(step(task)).perpetual()) {
			broken("BUDGET", "a start of %s on %s after %d of its runs have ended failed and were taken note of", task,
					worker, failed);
		}
		if (log.cancelledMs >= 0 && now - log.cancelledMs > CANCEL_MS) {
			broken("UNASKED", "a start of %s %d ms after the cancelling of its job was acknowledged", task,
					now - log.cancelledMs);
		}
		this.runs.add(new Run(worker, task, attempt, now));
		return earlier < Job.failures(spec);
	}

	// Returns the number of members if the task is one of a gang, 0 if not.
	synchronized int gangMembers(String task) {
		JobLog log = this.jobs.get(task.split("\\.")[0]);
		Job.Step asked = (log != null) ? log.job.steps.get(step(task)) : null;
		return (asked != null && asked.gang()) ? asked.count() : 0;
	}

	// A task that lasts must not wait for 3 s, from 6 s after its last run, in calm time of which 4 s
	// have passed before.
	private void checkLasting(JobLog log, String task) {
		long ended = -1;
		for (Run run : this.runs) {
			if (run.task.equals(task)) {
				if (run.endMs < 0) {
					return;
				}
				ended = Math.max(ended, run.endMs);
			}
		}
		if (ended < 0 || log.cancelSentMs >= 0) {
			return;
		}
		long from = Math.max(ended + LASTING_RESTART_MS, this.disturbedMs + CALM_BEFORE_MS);
		if (Main.now() - from > IDLE_MS) {
			broken("LOST", "task %s, which lasts, has not run for %d ms since its last run, %d ms of them after the last"
					+ " disruption", task, Main.now() - ended, Main.now() - Math.max(ended, this.disturbedMs));
		}
	}

	private static int step(String task) {
		return Integer.parseInt(task.split("\\.")[2]);
	}

	synchronized void ended(String worker, String task, int attempt, String how) {
		note("RUNNER %s ends %s attempt %d %s", worker, task, attempt, how);
		for (Run run : this.runs) {
			if (run.endMs < 0 && run.worker.equals(worker) && run.task.equals(task) && run.attempt == attempt) {
				run.endMs = Main.now();
				run.how = how;
				JobLog log = this.jobs.get(task.split("\\.")[0]);
				if (how.equals("alone") && log.cancelSentMs < 0 && run.startMs - this.disturbedMs > CONTACT_MS) {
					broken("GANG", "a run of the gang of %s ends alone: its members waited gangTimeoutMs for the others",
							log.job.id);
				}
				long allowed = log.cancelledMs + CANCEL_MS + STOP_TIMEOUT_MS;
				if (log.cancelledMs >= 0 && run.endMs > allowed) {
					broken("UNASKED", "a task ran on: %s on %s until %d ms after the cancelling of its job was"
							+ " acknowledged", task, worker, run.endMs - log.cancelledMs);
				}
			}
		}
	}

	synchronized void lapsed(String worker) {
		this.runs.stream()
			.filter((run) -> run.worker.equals(worker) && run.endMs >= 0 && !run.noted)
			.forEach((run) -> run.lapsedAfterEnd = true);
	}

	// Takes note of an end, unless the lease of the runner lapsed before.
	synchronized void noted(String worker, String task, int attempt) {
		note("RUNNER %s gets its end of %s attempt %d acknowledged", worker, task, attempt);
		for (Run run : this.runs) {
			if (run.worker.equals(worker) && run.task.equals(task) && run.attempt == attempt && run.endMs >= 0
					&& !run.lapsedAfterEnd && !run.noted) {
				run.noted = true;
				checkLaterStarts(run);
			}
		}
	}

	// Starts that came between an end and its acknowledgement count too.
	private void checkLaterStarts(Run noted) {
		JobLog log = this.jobs.get(noted.task.split("\\.")[0]);
		if (log.job.bestEffort || log.job.steps.get(step(noted.task)).perpetual()) {
			return;
		}
		for (Run run : this.runs) {
			boolean later = run.task.equals(noted.task) && run.startMs > noted.endMs;
			if (later && noted.how.equals("done")) {
				broken("TWICE", "run %d of %s on %s started after its run %d on %s had ended done, which is taken note of",
						run.attempt, run.task, run.worker, noted.attempt, noted.worker);
			}
			if (later && noted.how.equals("failed") && this.runs.stream()
				.filter((other) -> other.task.equals(run.task) && other.how.equals("failed") && other.noted
						&& other.endMs < run.startMs)
				.count() >= this.attempts) {
				broken("BUDGET", "run %d of %s on %s started after %d of its runs had ended failed, which is taken note of",
						run.attempt, run.task, run.worker, this.attempts);
			}
		}
	}

	// The end of the case: whether each accepted job is known, and those that were rejected have
	// not run.
	synchronized void finish(List<Job> stuck) {
		for (JobLog log : this.jobs.values()) {
			for (String task : tasks(log.job)) {
				if (log.job.steps.get(step(task)).perpetual() && !log.shown.containsKey("failed")) {
					checkLasting(log, task);
				}
			}
			boolean ran = this.runs.stream().anyMatch((run) -> run.task.startsWith(log.job.id + "."));
			boolean rejected = !log.submitAnswers.isEmpty()
					&& log.submitAnswers.stream().allMatch((status) -> status == 503 || status == 429);
			if (ran && rejected) {
				broken("REFUSED", "a task of %s has started, and all attempts to hand it in were rejected", log.job.id);
			}
		}
		stuck.forEach(this::checkGoesOn);
	}

	// A job that isn't shown as ended has to be known, and must not wait for 3 s with nothing at
	// work; the runners of the cases have room for it many times over.
	private void checkGoesOn(Job job) {
		JobLog log = this.jobs.get(job.id);
		if (!log.shown.containsKey("running") && !log.shown.containsKey("queued")) {
			broken("LOST", "accepted job %s isn't known, or gets no answer in time", job.id);
			return;
		}
		long since = log.acceptedMs;
		for (Run run : this.runs) {
			if (run.task.startsWith(job.id + ".")) {
				if (run.endMs < 0) {
					return;
				}
				since = Math.max(since, run.endMs);
			}
		}
		if (Main.now() - since > IDLE_MS) {
			broken("LOST", "accepted job %s has had nothing running for %d ms, although a task's turn has come", job.id,
					Main.now() - since);
		}
	}

	synchronized boolean isAccepted(Job job) {
		return this.jobs.get(job.id).acceptedMs >= 0;
	}

	synchronized long cancelledMs(Job job) {
		return this.jobs.get(job.id).cancelledMs;
	}

	synchronized int startsOf(Job job) {
		return (int) this.runs.stream().filter((run) -> run.task.startsWith(job.id + ".")).count();
	}

	synchronized int runningOf(Job job) {
		return (int) this.runs.stream()
			.filter((run) -> run.task.startsWith(job.id + ".") && run.endMs < 0)
			.count();
	}

	synchronized String summary() {
		return this.runs.size() + " runs, " + this.jobs.size() + " jobs";
	}

}
