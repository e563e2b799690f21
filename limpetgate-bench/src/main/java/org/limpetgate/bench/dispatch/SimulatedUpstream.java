package org.limpetgate.bench.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.limpetgate.Outcome;
import org.limpetgate.Resources;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.AttemptResult;

/**
 * A simulated upstream: a runner that queues attempts beyond its slots, or a worker whose
 * tasks slow down when they need more cores than it has and fail when they need more
 * memory.
 */
final class SimulatedUpstream {

	static final double STRAGGLER_PROBABILITY = 0.004;

	static final double STRAGGLER_FACTOR = 30;

	private static final double SLOW_FACTOR = 10;

	private static final long FAILURE_DELAY_NANOS = VirtualTime.MILLI;

	final Upstream definition;

	final double runTimeFactor;

	private final VirtualTime time;

	private final RandomGenerator random;

	private final Deque<Execution> waiting = new ArrayDeque<>();

	private Fault fault = Fault.NONE;

	private int running;

	private Resources used = Resources.NONE;

	/**
	 * Attempts beyond the capacity: queued at a runner, or failed for lack of memory at a
	 * worker.
	 */
	long overbooked;

	long arrived;

	SimulatedUpstream(Upstream definition, double runTimeFactor, VirtualTime time, RandomGenerator random) {
		this.definition = definition;
		this.runTimeFactor = runTimeFactor;
		this.time = time;
		this.random = random;
	}

	/**
	 * The faults of an upstream.
	 */
	enum Fault {

		NONE, FAILS, HANGS, SLOW, FLAPS, LEAVES

	}

	void setFault(Fault newFault) {
		this.fault = newFault;
	}

	Fault fault() {
		return this.fault;
	}

	Resources used() {
		return this.used;
	}

	Execution execute(SimulatedTask task, Consumer<AttemptResult> onResult) {
		Execution execution = new Execution(task, onResult);
		this.arrived++;
		boolean failing = this.fault == Fault.FAILS
				|| (this.fault == Fault.FLAPS && this.time.now() / VirtualTime.SECOND % 2 == 0);
		if (failing) {
			this.time.after(FAILURE_DELAY_NANOS, () -> execution.notifyResult(Outcome.FAILED, false));
		}
		else if (this.fault == Fault.LEAVES) {
			execution.notifyResult(Outcome.NOT_RUN, true);
		}
		else if (this.definition.slots() == 0 || this.running < this.definition.slots()) {
			begin(execution);
		}
		else {
			this.overbooked++;
			this.waiting.add(execution);
		}
		return execution;
	}

	private void begin(Execution execution) {
		this.running++;
		execution.running = true;
		this.used = this.used.plus(execution.task.actual);
		if (this.fault == Fault.HANGS) {
			return;
		}
		if (this.definition.slots() == 0 && this.used.memoryMb() > this.definition.resources().memoryMb()) {
			this.overbooked++;
			this.time.after(FAILURE_DELAY_NANOS, () -> execution.finish(Outcome.FAILED));
			return;
		}
		Outcome outcome = execution.task.alwaysFails ? Outcome.FAILED : Outcome.COMPLETE;
		this.time.after(runTime(execution.task), () -> execution.finish(outcome));
	}

	private long runTime(SimulatedTask task) {
		double factor = this.runTimeFactor;
		if (this.random.nextDouble() < STRAGGLER_PROBABILITY) {
			factor *= STRAGGLER_FACTOR;
		}
		if (this.fault == Fault.SLOW) {
			factor *= SLOW_FACTOR;
		}
		if (this.definition.slots() == 0) {
			factor *= Math.max(1, this.used.cores() / this.definition.resources().cores());
		}
		return (long) (task.workNanos * factor);
	}

	/**
	 * An attempt that runs or is queued at this upstream.
	 */
	final class Execution {

		private final SimulatedTask task;

		private final Consumer<AttemptResult> notifyResult;

		private boolean running;

		private boolean ended;

		private Execution(SimulatedTask task, Consumer<AttemptResult> onResult) {
			this.task = task;
			this.notifyResult = onResult;
		}

		private void finish(Outcome outcome) {
			if (!this.ended) {
				release();
				notifyResult(outcome, false);
			}
		}

		private void notifyResult(Outcome outcome, boolean leaving) {
			if (!this.ended) {
				this.ended = true;
				this.notifyResult
					.accept(new AttemptResult(outcome, 0, leaving, (outcome != Outcome.COMPLETE) ? "fake" : ""));
			}
		}

		void abort() {
			if (!this.ended) {
				this.ended = true;
				release();
				SimulatedUpstream.this.waiting.remove(this);
			}
		}

		private void release() {
			if (this.running) {
				this.running = false;
				SimulatedUpstream.this.running--;
				SimulatedUpstream.this.used = SimulatedUpstream.this.used.minus(this.task.actual);
				Execution next = SimulatedUpstream.this.waiting.poll();
				if (next != null) {
					begin(next);
				}
			}
		}

	}

}
