package org.limpetgate.host.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.Outcome;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.SubmitJob;

/**
 * Submits jobs to the scheduler of this host or, through the links, to that of a peer.
 * <p>
 * Invariant: a job that was submitted to the scheduler of this host has one result. Not
 * thread-safe; used on the event loop.
 */
final class SchedulerTransport implements JobTransport {

	private final HostId self;

	private final LocalScheduler localScheduler;

	/** The links, which are opened after this transport is created. */
	private final Supplier<FleetPeers> peers;

	private final Map<JobId, CompletableFuture<JobResult>> localResults = new HashMap<>();

	SchedulerTransport(HostId self, LocalScheduler localScheduler, Supplier<FleetPeers> peers) {
		this.self = self;
		this.localScheduler = localScheduler;
		this.peers = peers;
	}

	@Override
	public CompletableFuture<JobResult> submit(HostId host, SubmitJob job, long timeoutNanos) {
		if (!host.equals(this.self)) {
			return this.peers.get().submit(host, job, timeoutNanos);
		}
		CompletableFuture<JobResult> result = new CompletableFuture<>();
		JobId id = JobId.of(job.getJobId());
		this.localResults.put(id, result);
		if (!this.localScheduler.accept(host, job)) {
			this.localResults.remove(id);
			result.completeExceptionally(
					DispatchException.of(ErrorKind.NOT_READY, Outcome.NOT_RUN, "this host is not the scheduler"));
		}
		return result;
	}

	@Override
	public void withdraw(HostId host, JobId job) {
		if (host.equals(this.self)) {
			this.localResults.remove(job);
			this.localScheduler.withdraw(host, job);
		}
		else {
			this.peers.get().withdraw(host, job);
		}
	}

	// The scheduler of this host has no job of this host that it was not given or that
	// was
	// withdrawn.
	@Override
	public long heldUntilNanos(HostId host) {
		return host.equals(this.self) ? 0 : this.peers.get().heldUntilNanos(host);
	}

	@Override
	public long workersListedNanos(HostId host) {
		return host.equals(this.self) ? this.localScheduler.workersListedNanos()
				: this.peers.get().workersListedNanos(host);
	}

	@Override
	public boolean hasEndedSince(HostId host, long sinceNanos) {
		return !host.equals(this.self) && this.peers.get().hasEndedSince(host, sinceNanos);
	}

	// Completes a job that was submitted to the scheduler of this host.
	void complete(JobId job, JobResult result) {
		CompletableFuture<JobResult> pending = this.localResults.remove(job);
		if (pending != null) {
			pending.complete(result);
		}
	}

	/** The scheduler of this host. */
	interface LocalScheduler {

		/**
		 * Accepts a job.
		 * @param origin the host that submits it, not null
		 * @param job the job, not null
		 * @return false if this host does not schedule
		 */
		boolean accept(HostId origin, SubmitJob job);

		/**
		 * Withdraws a job.
		 * @param origin the host that submitted it, not null
		 * @param job the job, not null
		 */
		void withdraw(HostId origin, JobId job);

		/**
		 * Returns when all workers that this host used last while it scheduled were
		 * listed.
		 * @return the time in nanoseconds since the Unix epoch, 0 before the first list
		 */
		long workersListedNanos();

	}

}
