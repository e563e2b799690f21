package org.limpetgate.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * The leases under which a scheduler acts on the jobs of other hosts.
 * <p>
 * A job belongs to the link over which its host submitted it last. Each message on a link
 * repeats a time of this host's clock that the sender has received, and renews the lease
 * of the link until {@link #DURATION_NANOS} after that time. A host gives up a silent
 * link no earlier than that long after it received the time. So the lease has ended
 * before the host submits the job to another scheduler, even if this host was paused or
 * receives messages late.
 * <p>
 * Invariant: a message that arrives after the end of the lease does not prolong it, since
 * {@link #renew} and {@link #submitted} are preceded by {@link #expire}. Not thread-safe.
 */
public final class SubmissionLeases {

	/** The time after which a host gives up a link on which it receives nothing. */
	public static final long DURATION_NANOS = SchedulerElection.HEARTBEAT_TIMEOUT_NANOS;

	private final Map<Link, Lease> leases = new LinkedHashMap<>();

	/** The link of each job, by the host that submitted it. */
	private final Map<HostId, Map<JobId, Link>> links = new HashMap<>();

	/**
	 * Renews the lease of a link.
	 * @param link the link, not null
	 * @param provenNanos the time of this host's clock that the sender has received, in
	 * nanoseconds since the Unix epoch
	 */
	public void renew(Link link, long provenNanos) {
		Lease lease = this.leases.computeIfAbsent(link, (key) -> new Lease());
		lease.provenNanos = Math.max(lease.provenNanos, provenNanos);
	}

	/**
	 * Records that a job was submitted over a link, which replaces an earlier link of the
	 * same host.
	 * @param link the link, whose lease has not ended, not null
	 * @param job the job, not null
	 */
	public void submitted(Link link, JobId job) {
		remove(link.origin(), job);
		this.links.computeIfAbsent(link.origin(), (origin) -> new HashMap<>()).put(job, link);
		this.leases.computeIfAbsent(link, (key) -> new Lease()).jobs.add(job);
	}

	/**
	 * Removes a job that has ended, or that its host has withdrawn.
	 * @param origin the host that submitted it, not null
	 * @param job the job, not null
	 */
	public void remove(HostId origin, JobId job) {
		Map<JobId, Link> jobs = this.links.get(origin);
		Link link = (jobs != null) ? jobs.remove(job) : null;
		if (link != null) {
			this.leases.get(link).jobs.remove(job);
		}
	}

	/**
	 * Returns when a host was last known to wait for a job.
	 * @param origin the host that submitted it, not null
	 * @param job the job, not null
	 * @return the newest time of this host's clock that the host had received on the link
	 * of the job, nanoseconds since the Unix epoch; 0 if it has not submitted the job
	 */
	public long provenNanos(HostId origin, JobId job) {
		Link link = this.links.getOrDefault(origin, Map.of()).get(job);
		return (link != null) ? this.leases.get(link).provenNanos : 0;
	}

	/**
	 * Ends the leases that have expired.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @return the links with jobs on which this host must not act any longer, not null
	 */
	public List<Expired> expire(long nowNanos) {
		List<Link> ended = this.leases.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().provenNanos > DURATION_NANOS)
			.map(Map.Entry::getKey)
			.toList();
		List<Expired> expired = new ArrayList<>();
		for (Link link : ended) {
			List<JobId> jobs = List.copyOf(this.leases.remove(link).jobs);
			jobs.forEach(this.links.getOrDefault(link.origin(), Map.of())::remove);
			if (!jobs.isEmpty()) {
				expired.add(new Expired(link, jobs));
			}
		}
		return expired;
	}

	/**
	 * A link over which a host submits jobs.
	 *
	 * @param origin the host that opened the link, not null
	 * @param number the number of the link, which is unique in this process
	 */
	public record Link(HostId origin, long number) {

		public Link {
			Objects.requireNonNull(origin, "origin");
		}

	}

	/**
	 * A link whose lease has expired.
	 *
	 * @param link the link, not null
	 * @param jobs the jobs that were submitted over it last, at least one
	 */
	public record Expired(Link link, List<JobId> jobs) {

	}

	private static final class Lease {

		/** The newest time of this host's clock that the peer has received. */
		private long provenNanos;

		private final Set<JobId> jobs = new LinkedHashSet<>();

	}

}
