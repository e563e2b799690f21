package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The dispatcher and the upstreams of a {@link SimulatedEntryHost}, which refuse, fail
 * and delay tasks at random.
 * <p>
 * A task does not start after its expiry or its cancellation. Not thread-safe.
 */
final class SimulatedUpstreams {

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private final SimulatedEntryHost host;

	private final SimulationLoop loop;

	private final SubmissionChecker checker;

	private final Map<String, SimulatedTask> tasks = new HashMap<>();

	SimulatedUpstreams(SimulatedEntryHost host, SimulationLoop loop, SubmissionChecker checker) {
		this.host = host;
		this.loop = loop;
		this.checker = checker;
	}

	// Forgets all tasks, because the host has crashed.
	void reset() {
		this.tasks.clear();
	}

	void start(SubmissionEffect.StartTasks start) {
		boolean refused = this.loop.chance(0.08);
		for (int i = 0; i < start.submission().tasks().size(); i++) {
			SimulatedTask task = new SimulatedTask(start.jobRunNumber(), i, start.submission());
			this.tasks.put(task.runNumber + "/" + i, task);
			if (refused || this.loop.chance(0.01)) {
				this.loop.schedule(this.host, MS, () -> refuse(task, ErrorKind.OVERLOADED));
			}
			else {
				this.loop.schedule(this.host, this.loop.randomBetween(0, this.loop.chance(0.1) ? 3 * SECOND : 30 * MS),
						() -> run(task));
			}
		}
	}

	private void run(SimulatedTask task) {
		if (task.ended) {
			return;
		}
		if (this.host.clockNanos() >= task.submission.expiryNanos()) {
			refuse(task, ErrorKind.DEADLINE_EXCEEDED);
			return;
		}
		task.started = true;
		this.checker.started(task.submission, task.index, this.loop.now());
		byte[] body = (task.submission.key() + "/" + task.index + "/" + this.loop.sequence())
			.getBytes(StandardCharsets.UTF_8);
		this.loop.schedule(this.host, this.loop.randomBetween(MS, this.loop.chance(0.1) ? 5 * SECOND : 200 * MS),
				() -> {
					if (this.loop.chance(0.9)) {
						this.checker.completed(task.submission, task.index, body);
						end(task, TaskResult.complete(200, body));
					}
					else {
						Outcome outcome = this.loop.chance(0.5) ? Outcome.FAILED : Outcome.UNKNOWN;
						end(task, TaskResult.incomplete(outcome, ErrorKind.UPSTREAM_FAILED, "the upstream failed", 0));
					}
				});
	}

	private void refuse(SimulatedTask task, ErrorKind error) {
		end(task, TaskResult.incomplete(Outcome.NOT_RUN, error, "refused", SECOND));
	}

	private void end(SimulatedTask task, TaskResult result) {
		if (task.ended) {
			// A late or duplicate report must have no effect.
			this.host.taskEnded(task.runNumber, task.index, result);
			return;
		}
		task.ended = true;
		this.tasks.remove(task.runNumber + "/" + task.index);
		this.host.taskEnded(task.runNumber, task.index, result);
	}

	void cancel(SubmissionEffect.CancelTask effect) {
		SimulatedTask task = this.tasks.get(effect.jobRunNumber() + "/" + effect.index());
		if (task == null || task.ended) {
			return;
		}
		if (!task.started) {
			task.ended = true;
			this.tasks.remove(task.runNumber + "/" + task.index);
			this.loop.schedule(this.host, MS, () -> this.host.taskEnded(task.runNumber, task.index,
					TaskResult.incomplete(Outcome.NOT_RUN, ErrorKind.CANCELLED, "cancelled", 0)));
		}
		else if (this.loop.chance(0.5)) {
			this.loop.schedule(this.host, MS, () -> end(task,
					TaskResult.incomplete(Outcome.UNKNOWN, ErrorKind.CANCELLED, "cancelled in flight", 0)));
		}
	}

	private static final class SimulatedTask {

		private final long runNumber;

		private final int index;

		private final Submission submission;

		private boolean started;

		private boolean ended;

		private SimulatedTask(long runNumber, int index, Submission submission) {
			this.runNumber = runNumber;
			this.index = index;
			this.submission = submission;
		}

	}

}
