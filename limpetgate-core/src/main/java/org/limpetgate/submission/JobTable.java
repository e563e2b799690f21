package org.limpetgate.submission;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The jobs held at this host, with results in bounded time and memory.
 * <p>
 * A job is remembered at least until its expiry plus the skew bound, so that it cannot be
 * started again. Its result may be dropped earlier when results take too much memory,
 * oldest first. Not thread-safe.
 */
final class JobTable {

	private static final long RECHECK_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final SubmissionSettings settings;

	private final Map<KeyHash, Job> jobs = new HashMap<>();

	private final Map<Long, Job> running = new HashMap<>();

	private final PriorityQueue<Drop> drops = new PriorityQueue<>(Comparator.comparingLong(Drop::atNanos));

	private final Deque<Job> kept = new ArrayDeque<>();

	/**
	 * Jobs accepted without waiting whose end no caller has been told. They are forgotten
	 * with the result, or with the job if it was not started again.
	 */
	private final Set<Job> uncollected = new HashSet<>();

	private long keptBytes;

	private long runningBytes;

	private long lastNumber;

	JobTable(SubmissionSettings settings) {
		this.settings = settings;
	}

	Job find(KeyHash key) {
		return this.jobs.get(key);
	}

	Job findRunning(long number) {
		return this.running.get(number);
	}

	Collection<Job> all() {
		return this.jobs.values();
	}

	int size() {
		return this.jobs.size();
	}

	int runningCount() {
		return this.running.size();
	}

	long keptBytes() {
		return this.keptBytes;
	}

	long runningBytes() {
		return this.runningBytes;
	}

	void add(Job job) {
		this.jobs.put(job.key, job);
		this.drops.add(new Drop(job.keepUntilNanos, job));
	}

	void remove(Job job) {
		this.jobs.remove(job.key, job);
		this.uncollected.remove(job);
	}

	void acceptedWithoutWaiting(Job job) {
		this.uncollected.add(job);
	}

	void collected(Job job) {
		this.uncollected.remove(job);
	}

	int uncollectedCount() {
		return this.uncollected.size();
	}

	// Begins a run of a job and gives it a number that was not used before.
	void start(Job job) {
		int tasks = job.submission.tasks().size();
		job.state = Job.State.RUNNING;
		job.number = ++this.lastNumber;
		job.results = new TaskResult[tasks];
		job.open = tasks;
		job.failing = false;
		this.running.put(job.number, job);
		addBytes(job, job.submission.sizeBytes());
	}

	void addBytes(Job job, long bytes) {
		job.runningBytes += bytes;
		this.runningBytes += bytes;
	}

	private void endRun(Job job) {
		this.running.remove(job.number);
		this.runningBytes -= job.runningBytes;
		job.runningBytes = 0;
		job.results = null;
		job.submission = null;
	}

	// Ends a run whose tasks were all proved not run, so that the job can start later.
	void hold(Job job) {
		endRun(job);
		job.state = Job.State.HELD;
	}

	void finish(Job job, Answer answer, long nowNanos) {
		endRun(job);
		job.state = Job.State.DONE;
		job.ticket = null;
		job.answer = answer;
		job.outcome = answer.outcome();
		job.endedNanos = nowNanos;
		this.kept.add(job);
		this.keptBytes += answer.sizeBytes();
		dropResults(nowNanos);
	}

	void expire(long nowNanos) {
		dropResults(nowNanos);
		while (!this.drops.isEmpty() && this.drops.peek().atNanos() <= nowNanos) {
			Job job = this.drops.poll().job();
			if (this.jobs.get(job.key) != job) {
				continue;
			}
			boolean inUse = job.state == Job.State.RUNNING || !job.waiters.isEmpty() || job.answer != null;
			if (inUse) {
				this.drops.add(new Drop(nowNanos + RECHECK_NANOS, job));
			}
			else {
				remove(job);
			}
		}
	}

	private void dropResults(long nowNanos) {
		while (!this.kept.isEmpty() && (this.keptBytes > this.settings.maxResultBytes()
				|| this.kept.peek().endedNanos + this.settings.resultKeepNanos() < nowNanos)) {
			Job oldest = this.kept.poll();
			this.keptBytes -= oldest.answer.sizeBytes();
			oldest.answer = null;
			this.uncollected.remove(oldest);
		}
	}

	private record Drop(long atNanos, Job job) {
	}

}
