package org.limpetgate.scheduling;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.limpetgate.JobId;
import org.limpetgate.UpstreamId;

/**
 * A series of faults of {@link SchedulerSimulation}: a worker starts a long task of a
 * stored job, the store no longer hears the worker, so that its entry expires while the
 * task goes on, and some seconds later the scheduler is replaced. Not thread-safe.
 */
final class UnheardWorkerSeries {

	private static final long MILLI = 1_000_000;

	/** The task has started after this, if there is room. */
	private static final int START_MILLIS = 400;

	/** From an expired entry to the loss of the scheduler. */
	private static final int MIN_UNHEARD_MILLIS = 5_000;

	private static final int MAX_UNHEARD_MILLIS = 14_000;

	/** From the loss of the scheduler to the return of the entry. */
	private static final int RETURN_MILLIS = 1_500;

	private static final int MAX_PAUSE_MILLIS = 4_000;

	private final VirtualTime time;

	private final Random random;

	private final Set<UpstreamId> unheard = new HashSet<>();

	/** Submits a stored job whose task lasts, and returns it. */
	private final Function<Long, JobId> submission;

	/** Returns the worker that runs a task of a job, null if there is none. */
	private final Function<JobId, UpstreamId> workers;

	/** Replaces the scheduler. */
	private final Consumer<Random> replacement;

	/** Whether a worker runs a long task that the other faults spare. */
	private boolean underWay;

	private boolean stopped;

	UnheardWorkerSeries(VirtualTime time, long seed, Function<Long, JobId> submission,
			Function<JobId, UpstreamId> workers, Consumer<Random> replacement) {
		this.time = time;
		this.random = new Random(seed);
		this.submission = submission;
		this.workers = workers;
		this.replacement = replacement;
	}

	void start() {
		this.time.schedule(millis(0, MAX_PAUSE_MILLIS), () -> {
			if (this.stopped) {
				return;
			}
			this.underWay = true;
			long unheardNanos = millis(MIN_UNHEARD_MILLIS, MAX_UNHEARD_MILLIS);
			JobId job = this.submission.apply(unheardNanos + RETURN_MILLIS * MILLI);
			this.time.schedule(START_MILLIS * MILLI, () -> silence(job, unheardNanos));
		});
	}

	private void silence(JobId job, long nanos) {
		UpstreamId worker = this.workers.apply(job);
		if (worker == null || this.stopped) {
			this.underWay = false;
			start();
			return;
		}
		this.unheard.add(worker);
		this.time.schedule(nanos, () -> {
			this.underWay = false;
			if (!this.stopped) {
				this.replacement.accept(this.random);
			}
		});
		this.time.schedule(nanos + RETURN_MILLIS * MILLI, () -> {
			this.unheard.remove(worker);
			start();
		});
	}

	// Ends the series; all workers are heard again.
	void stop() {
		this.stopped = true;
		this.unheard.clear();
	}

	// Tests whether other faults would end the long task before the scheduler is
	// replaced.
	boolean isUnderWay() {
		return this.underWay;
	}

	boolean isUnheard(UpstreamId worker) {
		return this.unheard.contains(worker);
	}

	private long millis(int min, int max) {
		return (min + this.random.nextInt(max - min)) * MILLI;
	}

}
