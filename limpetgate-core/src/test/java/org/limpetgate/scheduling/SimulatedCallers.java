package org.limpetgate.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.limpetgate.JobId;
import org.limpetgate.scheduling.FleetMessage.JobResult;

/**
 * The callers of {@link FleetSimulation}. Each sends a job to a random host, waits for
 * the answer until a deadline, and sends the job again, to any host, after a broken
 * connection or an answer that is not final. Not thread-safe.
 */
final class SimulatedCallers {

	private static final long RESEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	/** A caller that has less time left does not send its job again. */
	private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final int MIN_DEADLINE_MILLIS = 1500;

	private static final int MAX_DEADLINE_MILLIS = 7000;

	private static final int MAX_INTERVAL_MILLIS = 400;

	/** One in so many connections breaks. */
	private static final int BROKEN_CONNECTIONS = 12;

	private static final int MAX_CONNECTION_MILLIS = 2000;

	/** Added to the estimated duration of long tasks. */
	private static final int LONG_TASK_MILLIS = 2000;

	/** One in so many callers sends its job again after its deadline. */
	private static final int PERSISTENT_CALLERS = 4;

	/** One in so many jobs has a second step. */
	private static final int TWO_STEP_JOBS = 2;

	private final VirtualTime time;

	private final Random random;

	private final FleetTrace.Writer trace;

	private final Supplier<SimulatedHost> randomHost;

	private final RunChecks checks;

	private final RunChecks.ViolationListener listener;

	private final List<Attempt> openAttempts = new ArrayList<>();

	private int submitted;

	private int completed;

	private int refused;

	SimulatedCallers(FleetNetwork network, FleetTrace trace, Supplier<SimulatedHost> randomHost, RunChecks checks,
			RunChecks.ViolationListener listener) {
		this.time = network.time();
		this.random = network.random();
		this.trace = trace.writer("call");
		this.randomHost = randomHost;
		this.checks = checks;
		this.listener = listener;
	}

	void start() {
		sendNewJob();
	}

	int submitted() {
		return this.submitted;
	}

	int completed() {
		return this.completed;
	}

	int refused() {
		return this.refused;
	}

	private void sendNewJob() {
		send(new Caller(newJob(false), this.randomHost, false), newDeadlineNanos(), true);
		this.time.schedule(this.random.nextInt(MAX_INTERVAL_MILLIS) * FleetNetwork.MILLI, this::sendNewJob);
	}

	private JobSpec newJob(boolean longTasks) {
		JobId id = JobId.of("j" + this.submitted++);
		List<StepSpec> steps = new ArrayList<>();
		steps.add(newStep(List.of(), longTasks ? LONG_TASK_MILLIS : 0));
		if (this.random.nextInt(TWO_STEP_JOBS) == 0) {
			steps.add(newStep(List.of(0), 0));
		}
		return new JobSpec(id, "q", "service", new QueueTerms(0, 3, 3, TimeUnit.MILLISECONDS.toNanos(500)), "", steps);
	}

	private long newDeadlineNanos() {
		int millis = MIN_DEADLINE_MILLIS + this.random.nextInt(MAX_DEADLINE_MILLIS - MIN_DEADLINE_MILLIS);
		return this.time.nowNanos() + millis * FleetNetwork.MILLI;
	}

	private StepSpec newStep(List<Integer> after, int minMillis) {
		Capacity demand = new Capacity(1000 + this.random.nextInt(3000), 64, 0);
		long estimatedNanos = (minMillis + 50 + this.random.nextInt(2000)) * FleetNetwork.MILLI;
		return new StepSpec(1 + this.random.nextInt(4), demand, estimatedNanos, after, "", "", 0);
	}

	private Attempt send(Caller caller, long deadlineNanos, boolean first) {
		SimulatedHost host = caller.hosts().get();
		this.trace.job(caller.spec().id(), "sends the job to " + host.name());
		Attempt attempt = new Attempt(caller, deadlineNanos, first, host);
		if (!host.isUp()) {
			attempt.end("the host is down");
			return attempt;
		}
		this.openAttempts.add(attempt);
		host.handle(attempt::submit);
		this.time.schedule(deadlineNanos - this.time.nowNanos(), attempt::breakConnection);
		if (this.random.nextInt(BROKEN_CONNECTIONS) == 0) {
			this.time.schedule(this.random.nextInt(MAX_CONNECTION_MILLIS) * FleetNetwork.MILLI,
					attempt::breakConnection);
		}
		return attempt;
	}

	/**
	 * Sends a job whose tasks are long. Its caller sends it again until it has ended.
	 * @param hosts supplies the host of each attempt
	 * @param connectionNanos when the connection of the first attempt breaks, in
	 * nanoseconds from now
	 * @return the job
	 */
	JobId sendUnstable(Supplier<SimulatedHost> hosts, long connectionNanos) {
		Caller caller = new Caller(newJob(true), hosts, true);
		this.trace.job(caller.spec().id(), "is the job of a sequence of faults");
		Attempt attempt = send(caller, this.time.nowNanos() + MAX_DEADLINE_MILLIS * FleetNetwork.MILLI, true);
		this.time.schedule(connectionNanos, attempt::breakConnection);
		return caller.spec().id();
	}

	/**
	 * Sends a job whose tasks are long and whose caller waits for a short time. It sends
	 * the job again until it has ended.
	 * @param hosts supplies the host of each attempt
	 * @param waitNanos how long the first attempt waits, in nanoseconds
	 * @return the job
	 */
	JobId sendUrgent(Supplier<SimulatedHost> hosts, long waitNanos) {
		Caller caller = new Caller(newJob(true), hosts, true);
		this.trace.job(caller.spec().id(), "is the job of a sequence of faults");
		send(caller, this.time.nowNanos() + waitNanos, true);
		return caller.spec().id();
	}

	// Breaks the connections to a host that was killed.
	void hostKilled(SimulatedHost host) {
		List.copyOf(this.openAttempts)
			.stream()
			.filter((attempt) -> attempt.host == host)
			.forEach(Attempt::breakConnection);
	}

	/**
	 * A caller with one job.
	 *
	 * @param spec the job
	 * @param hosts supplies the host of each attempt
	 * @param persistent whether it always sends its job again after its deadline
	 */
	private record Caller(JobSpec spec, Supplier<SimulatedHost> hosts, boolean persistent) {

	}

	private final class Attempt {

		private final Caller caller;

		private final JobSpec spec;

		private final long deadlineNanos;

		private final boolean first;

		private final SimulatedHost host;

		private CompletableFuture<JobResult> answer = new CompletableFuture<>();

		private boolean ended;

		Attempt(Caller caller, long deadlineNanos, boolean first, SimulatedHost host) {
			this.caller = caller;
			this.spec = caller.spec();
			this.deadlineNanos = deadlineNanos;
			this.first = first;
			this.host = host;
		}

		void submit() {
			this.answer = this.host.submit(this.spec, this.deadlineNanos - SimulatedCallers.this.time.nowNanos());
			this.answer.thenAccept(this::answered);
		}

		private void answered(JobResult result) {
			if (this.ended) {
				return;
			}
			SimulatedCallers callers = SimulatedCallers.this;
			if (result.outcome() == JobOutcome.COMPLETED) {
				callers.completed++;
				callers.checks.checkAllTasksDone(this.spec);
			}
			if (result.outcome() == JobOutcome.REFUSED) {
				callers.refused++;
				if (this.first && callers.checks.hasStarted(this.spec.id())) {
					callers.listener.violated(this.spec.id(), "REFUSED: job " + this.spec.id() + " had started");
				}
			}
			if (result.outcome() == JobOutcome.COMPLETED || result.outcome() == JobOutcome.FAILED) {
				this.ended = true;
				callers.openAttempts.remove(this);
			}
			else {
				end("answered " + result.outcome());
			}
		}

		void breakConnection() {
			if (!this.ended) {
				this.host.handle(() -> this.answer.cancel(true));
				end("the connection is broken");
			}
		}

		void end(String reason) {
			SimulatedCallers callers = SimulatedCallers.this;
			this.ended = true;
			callers.openAttempts.remove(this);
			callers.trace.job(this.spec.id(), reason);
			if (callers.time.nowNanos() + RESEND_DELAY_NANOS + MIN_REMAINING_NANOS < this.deadlineNanos) {
				callers.time.schedule(RESEND_DELAY_NANOS, () -> send(this.caller, this.deadlineNanos, false));
			}
			else if (this.caller.persistent() || callers.random.nextInt(PERSISTENT_CALLERS) == 0) {
				callers.time.schedule(RESEND_DELAY_NANOS, () -> send(this.caller, callers.newDeadlineNanos(), false));
			}
		}

	}

}
