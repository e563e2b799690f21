package org.limpetgate.scheduling;

import java.util.List;

import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.fleet.SubmissionLeases.Expired;
import org.limpetgate.fleet.SubmissionLeases.Link;

/**
 * The rules of the entry hosts: a message is obeyed only while the clock that it echoes
 * is recent, and a scheduler acts on the jobs of other hosts under
 * {@link SubmissionLeases}. Not thread-safe.
 */
final class LeasedSubmissionRules implements SubmissionRules {

	private final SubmissionLeases leases = new SubmissionLeases();

	private final boolean dropsWithdrawals;

	private final boolean takesHostsForHeard;

	private final boolean takesWorkerListForNew;

	private LeasedSubmissionRules(boolean dropsWithdrawals, boolean takesHostsForHeard, boolean takesWorkerListForNew) {
		this.dropsWithdrawals = dropsWithdrawals;
		this.takesHostsForHeard = takesHostsForHeard;
		this.takesWorkerListForNew = takesWorkerListForNew;
	}

	LeasedSubmissionRules() {
		this(false, false, false);
	}

	// Returns rules under which withdrawals are lost on full links, as they once were.
	static LeasedSubmissionRules droppingWithdrawals() {
		return new LeasedSubmissionRules(true, false, false);
	}

	// Returns rules under which a host counts as heard until its submission lease ends,
	// so that the leases of its runs are not limited before.
	static LeasedSubmissionRules takingHostsForHeard() {
		return new LeasedSubmissionRules(false, true, false);
	}

	// Returns rules under which a scheduler does not wait for a read of the list of
	// workers that was sent after a handover.
	static LeasedSubmissionRules takingWorkerListForNew() {
		return new LeasedSubmissionRules(false, false, true);
	}

	@Override
	public boolean isTimely(long echoedNanos, long nowNanos) {
		return nowNanos - echoedNanos <= SubmissionLeases.DURATION_NANOS;
	}

	@Override
	public void renew(Link link, long echoedNanos) {
		this.leases.renew(link, echoedNanos);
	}

	@Override
	public void submitted(Link link, JobId job) {
		this.leases.submitted(link, job);
	}

	@Override
	public void remove(HostId origin, JobId job) {
		this.leases.remove(origin, job);
	}

	@Override
	public List<Expired> expire(long nowNanos) {
		return this.leases.expire(nowNanos);
	}

	@Override
	public long lastWaitedNanos(HostId origin, JobId job, long nowNanos) {
		return this.takesHostsForHeard ? nowNanos : this.leases.provenNanos(origin, job);
	}

	@Override
	public long heldNanos(long newestReplyNanos, long nowNanos) {
		return Math.max(0, newestReplyNanos + SubmissionLeases.DURATION_NANOS - nowNanos);
	}

	@Override
	public boolean closesSupersededLinks() {
		return true;
	}

	@Override
	public boolean withdrawsOverdueJobs() {
		return true;
	}

	@Override
	public boolean dropsWithdrawalsOnFullLinks() {
		return this.dropsWithdrawals;
	}

	@Override
	public boolean isPauseTooLong(long nanos) {
		return nanos > SubmissionLeases.DURATION_NANOS;
	}

	@Override
	public boolean takesWorkerListForNew() {
		return this.takesWorkerListForNew;
	}

}
