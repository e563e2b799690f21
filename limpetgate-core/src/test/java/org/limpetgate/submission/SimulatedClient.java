package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.limpetgate.CallerId;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

/**
 * A caller that resubmits through random hosts until it has received a final outcome, and
 * sometimes after that. It may lose an answer, disconnect, cancel or query.
 * <p>
 * Not thread-safe.
 */
final class SimulatedClient {

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private final SimulationLoop loop;

	private final SimulatedNetwork network;

	private final SubmissionChecker checker;

	private final CallerId caller;

	private final SubmissionKey key;

	private final long expiryNanos;

	private final boolean idempotent;

	private final int tasks;

	private int attempts;

	SimulatedClient(SimulationLoop loop, SimulatedNetwork network, SubmissionChecker checker, CallerId caller,
			SubmissionKey key, long expiryNanos) {
		this.loop = loop;
		this.network = network;
		this.checker = checker;
		this.caller = caller;
		this.key = key;
		this.expiryNanos = expiryNanos;
		this.idempotent = loop.chance(0.25);
		this.tasks = 1 + loop.randomBelow(4);
	}

	void send() {
		if (this.attempts == 6 || this.loop.now() > this.expiryNanos + 10 * SECOND) {
			return;
		}
		SimulatedEntryHost host = this.network.randomHost();
		boolean otherBody = this.attempts > 0 && this.loop.chance(0.03);
		Submission submission = submission(otherBody);
		long id = this.network.nextRequest();
		this.checker.sent(id, submission, this.loop.now());
		boolean[] answerReceived = new boolean[1];
		this.loop.schedule(host, this.loop.randomBetween(MS, 5 * MS),
				() -> host.receiveSubmission(id, submission, (answer) -> {
					this.checker.answered(id, answer, this.loop.now());
					if (!this.loop.chance(0.05)) {
						answerReceived[0] = true;
						handleAnswer(answer);
					}
				}));
		this.loop.schedule(this.loop.randomBetween(SECOND, 8 * SECOND), () -> {
			if (!answerReceived[0]) {
				if (host.isRunning() && this.loop.chance(0.3)) {
					this.loop.schedule(host, MS, () -> host.abandon(id));
				}
				send();
			}
		});
		if (this.loop.chance(0.05)) {
			this.loop.schedule(this.loop.randomBetween(0, 2 * SECOND), this::send);
		}
		if (this.loop.chance(0.05)) {
			this.loop.schedule(this.loop.randomBetween(0, 5 * SECOND), this::cancelOrQuery);
		}
	}

	private Submission submission(boolean otherBody) {
		List<SubmittedTask> submittedTasks = new ArrayList<>();
		for (int i = 0; i < this.tasks; i++) {
			byte[] body = (this.key + "/" + i + otherBody).getBytes(StandardCharsets.US_ASCII);
			submittedTasks.add(SubmittedTask.of("task" + i, "POST", "/work", body, this.idempotent));
		}
		int attempt = ++this.attempts;
		return Submission.of(this.caller, this.key, this.expiryNanos,
				this.loop.chance(0.1) ? Submission.ATTEMPT_UNDECLARED : attempt, this.loop.chance(0.8), submittedTasks);
	}

	private void handleAnswer(Answer answer) {
		boolean finished = answer.outcome() == Outcome.COMPLETE || answer.outcome() == Outcome.FAILED;
		if (!finished || this.loop.chance(0.2)) {
			this.loop.schedule(this.loop.randomBetween(MS, finished ? 10 * SECOND : 3 * SECOND), this::send);
		}
	}

	private void cancelOrQuery() {
		SimulatedEntryHost host = this.network.randomHost();
		boolean cancel = this.loop.chance(0.5);
		this.loop.schedule(host, MS, () -> {
			long id = this.network.nextRequest();
			if (cancel) {
				host.cancel(id, this.caller, this.key);
			}
			else {
				host.query(id, this.caller, this.key);
			}
		});
	}

}
