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
 * The jobs of this host, whose results are retained for a bounded time in bounded memory.
 * <p>
 * A job is retained at least until its expiry plus the skew bound, so that it cannot be
 * started again. Its result may be evicted earlier, oldest first, when the results exceed
 * their memory limit. Not thread-safe.
 */
final class JobTable {

	private static final long REMOVAL_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final SubmissionSettings settings;

	private final Map<KeyHash, Job> jobs = new HashMap<>();

	private final Map<Long, Job> running = new HashMap<>();

	private final PriorityQueue<Removal> removals = new PriorityQueue<>(Comparator.comparingLong(Removal::dueNanos));

	private final Deque<Job> jobsWithResult = new ArrayDeque<>();

	/**
	 * Jobs whose caller did not wait and whose outcome has not been sent to any caller
	 * yet. An entry is removed with the result of the job, or with the job if it has no
	 * result.
	 */
	private final Set<Job> uncollected = new HashSet<>();

	private long resultBytes;

	private long runningBytes;

	private long lastRunNumber;

	JobTable(SubmissionSettings settings) {
		this.settings = settings;
	}

	Job find(KeyHash key) {
		return this.jobs.get(key);
	}

	Job findRunning(long runNumber) {
		return this.running.get(runNumber);
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

	long resultBytes() {
		return this.resultBytes;
	}

	long runningBytes() {
		return this.runningBytes;
	}

	void add(Job job) {
		this.jobs.put(job.key, job);
		this.removals.add(new Removal(job.retainUntilNanos, job));
	}

	void remove(Job job) {
		this.jobs.remove(job.key, job);
		this.uncollected.remove(job);
	}

	void markUncollected(Job job) {
		this.uncollected.add(job);
	}

	void markCollected(Job job) {
		this.uncollected.remove(job);
	}

	int uncollectedCount() {
		return this.uncollected.size();
	}

	// Starts a run of a job under a new run number.
	void start(Job job) {
		int tasks = job.submission.tasks().size();
		job.state = Job.State.RUNNING;
		job.runNumber = ++this.lastRunNumber;
		job.results = new TaskResult[tasks];
		job.openTasks = tasks;
		job.tasksCancelled = false;
		this.running.put(job.runNumber, job);
		addBytes(job, job.submission.sizeBytes());
	}

	void addBytes(Job job, long bytes) {
		job.runningBytes += bytes;
		this.runningBytes += bytes;
	}

	private void endRun(Job job) {
		this.running.remove(job.runNumber);
		this.runningBytes -= job.runningBytes;
		job.runningBytes = 0;
		job.results = null;
		job.submission = null;
	}

	// Ends a run of which it is proven that no task ran, so that the job can be started
	// again.
	void returnToHeld(Job job) {
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
		this.jobsWithResult.add(job);
		this.resultBytes += answer.sizeBytes();
		evictResults(nowNanos);
	}

	void expire(long nowNanos) {
		evictResults(nowNanos);
		while (!this.removals.isEmpty() && this.removals.peek().dueNanos() <= nowNanos) {
			Job job = this.removals.poll().job();
			if (this.jobs.get(job.key) != job) {
				continue;
			}
			boolean inUse = job.state == Job.State.RUNNING || !job.waiters.isEmpty() || job.answer != null;
			if (inUse) {
				this.removals.add(new Removal(nowNanos + REMOVAL_RETRY_NANOS, job));
			}
			else {
				remove(job);
			}
		}
	}

	private void evictResults(long nowNanos) {
		while (!this.jobsWithResult.isEmpty() && (this.resultBytes > this.settings.maxResultBytes()
				|| this.jobsWithResult.peek().endedNanos + this.settings.resultRetentionNanos() < nowNanos)) {
			Job oldest = this.jobsWithResult.poll();
			this.resultBytes -= oldest.answer.sizeBytes();
			oldest.answer = null;
			this.uncollected.remove(oldest);
		}
	}

	private record Removal(long dueNanos, Job job) {
	}

}
