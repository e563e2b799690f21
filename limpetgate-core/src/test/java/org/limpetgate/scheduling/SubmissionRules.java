package org.limpetgate.scheduling;

import java.util.List;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.SubmissionLeases.Expired;
import org.limpetgate.fleet.SubmissionLeases.Link;

/**
 * Decides which messages of other hosts are obeyed and how long a scheduler may act on
 * the jobs that other hosts submitted to it. Each host of {@link FleetSimulation} has its
 * own rules.
 */
interface SubmissionRules {

	/**
	 * Tests whether a message is recent enough to be carried out.
	 * @param echoedNanos the newest clock of this host that the sender had received on
	 * the link
	 * @param nowNanos the clock of this host
	 * @return false if the message must be refused
	 */
	boolean isTimely(long echoedNanos, long nowNanos);

	/**
	 * Renews the lease of the jobs that were submitted over a link.
	 * @param link the link, over which a message arrived
	 * @param echoedNanos the newest clock of this host that the sender had received on
	 * the link
	 */
	void renew(Link link, long echoedNanos);

	/**
	 * Records that a job was submitted.
	 * @param link the link over which it was submitted
	 * @param job the job
	 */
	void submitted(Link link, JobId job);

	/**
	 * Removes a job that has ended or that its host has withdrawn.
	 * @param origin the host that submitted it
	 * @param job the job
	 */
	void remove(HostId origin, JobId job);

	/**
	 * Removes the jobs on which this host may no longer act.
	 * @param nowNanos the clock of this host
	 * @return the links over which they were submitted, with the jobs
	 */
	List<Expired> expire(long nowNanos);

	/**
	 * Returns when a host was last known to wait for a job.
	 * @param origin the host that submitted it
	 * @param job the job
	 * @param nowNanos the clock of this host
	 * @return the time by the clock of this host, 0 if it is not known to wait
	 */
	long lastWaitedNanos(HostId origin, JobId job, long nowNanos);

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
	 * Tests whether a newer link of a host closes the older ones.
	 * @return true if it does
	 */
	boolean closesSupersededLinks();

	/**
	 * Tests whether this host withdraws a job when its caller has stopped waiting and the
	 * scheduler has not answered.
	 * @return true if it does
	 */
	boolean withdrawsOverdueJobs();

	/**
	 * Tests whether a withdrawal is dropped when its link is full.
	 * @return true if it is
	 */
	boolean dropsWithdrawalsOnFullLinks();

	/**
	 * Tests whether this host was paused for so long that it must read the input that
	 * waited before it acts.
	 * @param nanos the time between two ticks of this host, in nanoseconds
	 * @return true if it must
	 */
	boolean isPauseTooLong(long nanos);

	/**
	 * Tests whether this host takes its copy of the list of workers for the present one,
	 * whenever it was read.
	 * @return true if it does
	 */
	boolean takesWorkerListForNew();

	/** Obeys every message whenever it arrives. */
	final class Unlimited implements SubmissionRules {

		@Override
		public boolean isTimely(long echoedNanos, long nowNanos) {
			return true;
		}

		@Override
		public void renew(Link link, long echoedNanos) {
		}

		@Override
		public void submitted(Link link, JobId job) {
		}

		@Override
		public void remove(HostId origin, JobId job) {
		}

		@Override
		public List<Expired> expire(long nowNanos) {
			return List.of();
		}

		@Override
		public long lastWaitedNanos(HostId origin, JobId job, long nowNanos) {
			return nowNanos;
		}

		@Override
		public long heldNanos(long newestReplyNanos, long nowNanos) {
			return 0;
		}

		@Override
		public boolean closesSupersededLinks() {
			return false;
		}

		@Override
		public boolean withdrawsOverdueJobs() {
			return false;
		}

		@Override
		public boolean dropsWithdrawalsOnFullLinks() {
			return true;
		}

		@Override
		public boolean isPauseTooLong(long nanos) {
			return false;
		}

		@Override
		public boolean takesWorkerListForNew() {
			return true;
		}

	}

}
