package org.limpetgate.scheduling;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.scheduling.FleetMessage.JobResult;
import org.limpetgate.scheduling.FleetMessage.SubmitJob;

/**
 * Submits the jobs of a host of {@link FleetSimulation} to its own scheduler or to that
 * of a peer. Not thread-safe.
 */
final class SimulatedTransport implements SimulatedPendingJobs.Transport {

	private final SimulatedHost host;

	private final SubmissionRules rules;

	private final Map<JobId, CompletableFuture<JobResult>> localResults = new TreeMap<>();

	SimulatedTransport(SimulatedHost host, SubmissionRules rules) {
		this.host = host;
		this.rules = rules;
	}

	@Override
	public CompletableFuture<JobResult> submit(HostId target, SubmitJob job, long timeoutNanos) {
		if (!target.equals(this.host.id())) {
			return this.host.peers().submit(target, job, timeoutNanos);
		}
		CompletableFuture<JobResult> result = new CompletableFuture<>();
		this.localResults.put(job.spec().id(), result);
		if (!this.host.accept(target, job)) {
			this.localResults.remove(job.spec().id());
			result.completeExceptionally(
					DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "this host is not the scheduler"));
		}
		return result;
	}

	@Override
	public void withdraw(HostId target, JobId job) {
		if (target.equals(this.host.id())) {
			this.localResults.remove(job);
			this.host.withdraw(target, job);
		}
		else {
			this.host.peers().withdraw(target, job);
		}
	}

	@Override
	public boolean withdrawsOverdueJobs() {
		return this.rules.withdrawsOverdueJobs();
	}

	@Override
	public long heldNanos(HostId target, long nowNanos) {
		return target.equals(this.host.id()) ? 0
				: this.rules.heldNanos(this.host.peers().newestReplyNanos(target), nowNanos);
	}

	@Override
	public long workersListedNanos(HostId target) {
		return target.equals(this.host.id()) ? this.host.workersListedNanos()
				: this.host.peers().workersListedNanos(target);
	}

	void complete(JobId job, JobResult result) {
		CompletableFuture<JobResult> pending = this.localResults.remove(job);
		if (pending != null) {
			pending.complete(result);
		}
	}

}
