package org.limpetgate.scheduling;

import java.util.List;

import org.limpetgate.HostId;
import org.limpetgate.JobId;

/**
 * Decides which messages of other hosts are obeyed and how long a scheduler may act on
 * the jobs that other hosts submitted to it. Each host of {@link FleetSimulation} has its
 * own rules.
 */
interface SubmissionRules {

	/**
	 * Decides about a message that arrived on an accepted link.
	 * @param link the link
	 * @param echoedNanos the newest clock of this host that the sender had received on
	 * the link
	 * @param nowNanos the clock of this host
	 * @return false if the message must not be carried out
	 */
	boolean isTimely(AcceptedLink link, long echoedNanos, long nowNanos);

	/**
	 * Records that a job was submitted.
	 * @param link the link over which it was submitted
	 * @param job the job
	 */
	void submitted(AcceptedLink link, JobId job);

	/**
	 * Decides whether a withdrawal applies, and forgets the job if it does.
	 * @param link the link over which the withdrawal came
	 * @param job the job
	 * @return true if the job is to be withdrawn
	 */
	boolean withdrawn(AcceptedLink link, JobId job);

	/**
	 * Records that a host was sent the outcome of a job.
	 * @param peer the host
	 * @param job the job
	 */
	void answered(HostId peer, JobId job);

	/**
	 * Returns the jobs on which this host may no longer act, and forgets them.
	 * @param nowNanos the clock of this host
	 * @return the jobs with the hosts that submitted them
	 */
	List<SubmittedJob> takeExpired(long nowNanos);

	/**
	 * Returns how much longer the scheduler to which a job was submitted may act on it
	 * after this host has taken it back.
	 * @param newestReplyNanos when the newest reply on that link arrived, by the clock of
	 * this host
	 * @param nowNanos the clock of this host
	 * @return the time in nanoseconds
	 */
	long heldNanos(long newestReplyNanos, long nowNanos);

	/**
	 * Tests whether this host withdraws a job when its caller has stopped waiting and the
	 * scheduler has not answered.
	 * @return true if it does
	 */
	boolean withdrawsOverdueJobs();

	/**
	 * Tests whether this host was paused for so long that it must take its jobs back from
	 * its own scheduler before that one acts again.
	 * @param nanos the time between two ticks of this host, in nanoseconds
	 * @return true if it must
	 */
	boolean isPauseTooLong(long nanos);

	/**
	 * A link that this host has accepted.
	 *
	 * @param peer the host that opened it
	 * @param number a number that is larger than those of links accepted earlier
	 */
	record AcceptedLink(HostId peer, long number) {

	}

	/**
	 * A job of another host.
	 *
	 * @param peer the host that submitted it
	 * @param job the job
	 */
	record SubmittedJob(HostId peer, JobId job) {

	}

	/** Obeys every message whenever it arrives. */
	final class Unlimited implements SubmissionRules {

		@Override
		public boolean isTimely(AcceptedLink link, long echoedNanos, long nowNanos) {
			return true;
		}

		@Override
		public void submitted(AcceptedLink link, JobId job) {
		}

		@Override
		public boolean withdrawn(AcceptedLink link, JobId job) {
			return true;
		}

		@Override
		public void answered(HostId peer, JobId job) {
		}

		@Override
		public List<SubmittedJob> takeExpired(long nowNanos) {
			return List.of();
		}

		@Override
		public long heldNanos(long newestReplyNanos, long nowNanos) {
			return 0;
		}

		@Override
		public boolean withdrawsOverdueJobs() {
			return false;
		}

		@Override
		public boolean isPauseTooLong(long nanos) {
			return false;
		}

	}

}
