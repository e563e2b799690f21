package org.limpetgate.host.fleet;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.QueueStatus;
import org.limpetgate.scheduling.Scheduler;

/**
 * Answers queries of stored jobs, at the scheduler of this host or at that of a peer. Not
 * thread-safe; used on the event loop.
 */
final class JobQueries {

	private final HostId self;

	private final StoredJobService storedJobs;

	private final Scheduler scheduler;

	/** The links, which are opened after this object is created. */
	private final Supplier<FleetPeers> peers;

	private final LongSupplier clock;

	private final Runnable requestTick;

	JobQueries(HostId self, StoredJobService storedJobs, Scheduler scheduler, Supplier<FleetPeers> peers,
			LongSupplier clock, Runnable requestTick) {
		this.self = self;
		this.storedJobs = storedJobs;
		this.scheduler = scheduler;
		this.peers = peers;
		this.clock = clock;
		this.requestTick = requestTick;
	}

	// Queries a stored job, or requests its cancellation, at the host that schedules,
	// which is null if none is known.
	CompletableFuture<StoredJobAnswer> query(JobId job, boolean cancel, HostId schedulingHost) {
		if (schedulingHost == null) {
			return CompletableFuture.completedFuture(StoredJobAnswer.UNAVAILABLE);
		}
		CompletableFuture<JobStatus> status = schedulingHost.equals(this.self) ? queryLocally(job, cancel)
				: this.peers.get().query(schedulingHost, job, cancel);
		return status
			.handle((reply, failure) -> (failure != null) ? StoredJobAnswer.UNAVAILABLE : JobMessages.toAnswer(reply));
	}

	CompletableFuture<JobStatus> queryLocally(JobId job, boolean cancel) {
		long now = this.clock.getAsLong();
		if (!cancel) {
			return CompletableFuture.completedFuture(this.storedJobs.status(job, now));
		}
		CompletableFuture<JobStatus> status = this.storedJobs.cancel(job, now);
		this.requestTick.run();
		return status;
	}

	// Queries the number of pending jobs of a queue at the host that schedules, which is
	// null if none is known.
	CompletableFuture<OptionalInt> pendingJobs(String queue, HostId schedulingHost) {
		if (schedulingHost == null) {
			return CompletableFuture.completedFuture(OptionalInt.empty());
		}
		CompletableFuture<QueueStatus> status = schedulingHost.equals(this.self)
				? CompletableFuture.completedFuture(queueStatus(queue)) : this.peers.get().query(schedulingHost, queue);
		return status.handle((reply, failure) -> (failure == null && reply.getAvailable())
				? OptionalInt.of(reply.getPendingJobs()) : OptionalInt.empty());
	}

	QueueStatus queueStatus(String queue) {
		return QueueStatus.newBuilder()
			.setAvailable(this.storedJobs.isAuthoritative(this.clock.getAsLong()))
			.setPendingJobs(this.scheduler.pendingJobs(queue))
			.build();
	}

}
