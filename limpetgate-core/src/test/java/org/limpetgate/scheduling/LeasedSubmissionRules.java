package org.limpetgate.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Obeys a message only while the clock that it echoes is recent, and lets a scheduler act
 * on a job only while such messages arrive on the link over which the job was submitted.
 * <p>
 * The receiver compares times of its own clock only. Not thread-safe.
 */
class LeasedSubmissionRules implements SubmissionRules {

	/** The longest time between the echoed clock and the use of a message. */
	private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private final Map<AcceptedLink, Long> newestEchoedNanos = new HashMap<>();

	/** The newest link over which each job was submitted. */
	private final Map<SubmittedJob, AcceptedLink> links = new HashMap<>();

	@Override
	public boolean isTimely(AcceptedLink link, long echoedNanos, long nowNanos) {
		if (nowNanos - echoedNanos > LEASE_NANOS) {
			return false;
		}
		this.newestEchoedNanos.merge(link, echoedNanos, Math::max);
		return true;
	}

	@Override
	public void submitted(AcceptedLink link, JobId job) {
		this.links.merge(new SubmittedJob(link.peer(), job), link,
				(first, second) -> (first.number() > second.number()) ? first : second);
	}

	@Override
	public boolean withdrawn(AcceptedLink link, JobId job) {
		SubmittedJob submitted = new SubmittedJob(link.peer(), job);
		AcceptedLink submittedOver = this.links.get(submitted);
		if (submittedOver == null || submittedOver.number() > link.number()) {
			return false;
		}
		this.links.remove(submitted);
		return true;
	}

	@Override
	public void answered(HostId peer, JobId job) {
		this.links.remove(new SubmittedJob(peer, job));
	}

	@Override
	public List<SubmittedJob> takeExpired(long nowNanos) {
		List<SubmittedJob> expired = this.links.entrySet()
			.stream()
			.filter((entry) -> nowNanos - this.newestEchoedNanos.get(entry.getValue()) > LEASE_NANOS)
			.map(Map.Entry::getKey)
			.sorted((first, second) -> first.toString().compareTo(second.toString()))
			.toList();
		expired.forEach(this.links::remove);
		return expired;
	}

	@Override
	public long heldNanos(long newestReplyNanos, long nowNanos) {
		return Math.max(0, newestReplyNanos + LEASE_NANOS - nowNanos);
	}

	@Override
	public boolean withdrawsOverdueJobs() {
		return false;
	}

	@Override
	public boolean isPauseTooLong(long nanos) {
		return false;
	}

	/**
	 * Adds two rules for jobs whose lease does not end although their callers have left:
	 * one for those that the scheduler has not answered in time, one for those of a host
	 * that submitted them to its own scheduler and was paused.
	 */
	static final class Amended extends LeasedSubmissionRules {

		@Override
		public boolean withdrawsOverdueJobs() {
			return true;
		}

		@Override
		public boolean isPauseTooLong(long nanos) {
			return nanos > LEASE_NANOS;
		}

	}

}
