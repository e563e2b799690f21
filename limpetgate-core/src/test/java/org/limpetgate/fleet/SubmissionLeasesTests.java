package org.limpetgate.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.limpetgate.HostId;
import org.limpetgate.JobId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SubmissionLeases}.
 */
class SubmissionLeasesTests {

	private static final long START = TimeUnit.DAYS.toNanos(21_000);

	private static final long MILLI = 1_000_000;

	private static final HostId HOST = HostId.of("10.0.0.1:1");

	private static final SubmissionLeases.Link FIRST = new SubmissionLeases.Link(HOST, 1);

	private static final SubmissionLeases.Link SECOND = new SubmissionLeases.Link(HOST, 2);

	private static final JobId JOB = JobId.of("1");

	private final SubmissionLeases leases = new SubmissionLeases();

	/**
	 * Guards against a scheduler that continues to act on a job after its host may have
	 * submitted it to another one.
	 */
	@Example
	void leaseEndsWhenTheHostIsNoLongerHeard() {
		this.leases.renew(FIRST, START);
		this.leases.submitted(FIRST, JOB);
		this.leases.renew(FIRST, START + 200 * MILLI);
		assertThat(this.leases.expire(START + 900 * MILLI)).isEmpty();
		assertThat(this.leases.expire(START + 901 * MILLI))
			.containsExactly(new SubmissionLeases.Expired(FIRST, List.of(JOB)));
		assertThat(this.leases.expire(START + 2000 * MILLI)).isEmpty();
	}

	/** Guards against a delayed message that shortens a lease. */
	@Example
	void earlierTimeDoesNotShortenTheLease() {
		this.leases.renew(FIRST, START + 200 * MILLI);
		this.leases.submitted(FIRST, JOB);
		this.leases.renew(FIRST, START);
		assertThat(this.leases.expire(START + 900 * MILLI)).isEmpty();
	}

	/** Guards against ending a job that its host has submitted again over a new link. */
	@Example
	void jobSubmittedOverANewLinkOutlastsTheOldOne() {
		this.leases.renew(FIRST, START);
		this.leases.submitted(FIRST, JOB);
		this.leases.renew(SECOND, START + 600 * MILLI);
		this.leases.submitted(SECOND, JOB);
		assertThat(this.leases.expire(START + 1000 * MILLI)).isEmpty();
		assertThat(this.leases.expire(START + 1301 * MILLI))
			.containsExactly(new SubmissionLeases.Expired(SECOND, List.of(JOB)));
	}

	/**
	 * Guards against a job that stays with a scheduler because its host uses a new link,
	 * although the host has not submitted the job again.
	 */
	@Example
	void newLinkDoesNotRenewTheLeaseOfTheOldOne() {
		this.leases.renew(FIRST, START);
		this.leases.submitted(FIRST, JOB);
		this.leases.renew(SECOND, START + 600 * MILLI);
		assertThat(this.leases.expire(START + 701 * MILLI))
			.containsExactly(new SubmissionLeases.Expired(FIRST, List.of(JOB)));
	}

	/** Guards against ending a job that has ended already. */
	@Example
	void endedJobsDoNotExpire() {
		this.leases.renew(FIRST, START);
		this.leases.submitted(FIRST, JOB);
		this.leases.remove(HOST, JOB);
		assertThat(this.leases.expire(START + 701 * MILLI)).isEmpty();
	}

}
