package org.limpetgate.host.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.HostId;
import org.limpetgate.JobId;
import org.limpetgate.fleet.SubmissionLeases;
import org.limpetgate.proto.SubmitJob;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FleetPeers} over a link that is full or that delivers messages late.
 */
class FleetPeersTests {

	/** A link queues 4,096 one-way messages. */
	private static final int MORE_THAN_QUEUED_MESSAGES = 4200;

	private static final int LARGE_PAYLOAD_BYTES = 1_000_000;

	/**
	 * More than the write buffer of a link takes, which is 8 MB, and those of the kernel.
	 */
	private static final int MORE_THAN_UNSENT_JOBS = 40;

	private static final int HEARTBEATS = 5;

	/** Slows the clocks of the hosts, so that no lease expires on a busy machine. */
	private static final int CLOCK_SLOWDOWN = 10;

	/** The time for a scheduler to end a job that was withdrawn. */
	private static final Duration SUBMISSION_LEASE = Duration.ofNanos(SubmissionLeases.DURATION_NANOS * CLOCK_SLOWDOWN);

	/** Fails a test that would hang; no assertion depends on it. */
	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final JobId JOB = JobId.of("0123456789abcdef");

	private final Relay relay = new Relay();

	/** Added to the clocks of the hosts, in nanoseconds. */
	private final AtomicLong clockOffset = new AtomicLong();

	private final TestPeer scheduler;

	private final TestPeer entry;

	FleetPeersTests() {
		InetSocketAddress schedulerAddress = TestFleet.freeAddress(1);
		InetSocketAddress entryAddress = TestFleet.freeAddress(2);
		HostId schedulerId = TestFleet.id(schedulerAddress);
		HostId entryId = TestFleet.id(entryAddress);
		InetSocketAddress toScheduler = this.relay.open(entryId, schedulerId);
		InetSocketAddress toEntry = this.relay.open(schedulerId, entryId);
		LongSupplier clock = () -> System.nanoTime() / CLOCK_SLOWDOWN + this.clockOffset.get();
		this.scheduler = new TestPeer(schedulerAddress, entryId, (address) -> toEntry, clock);
		this.entry = new TestPeer(entryAddress, schedulerId, (address) -> toScheduler, clock);
	}

	@AfterTry
	void close() {
		this.entry.close();
		this.scheduler.close();
		this.relay.close();
	}

	/**
	 * Guards against a scheduler that keeps a job although its host has withdrawn it,
	 * because too many messages were queued for the link (second incident TWICE).
	 */
	@Example
	void withdrawalBehindManyOthersTakesEffect() {
		submitJob();
		List<JobId> withdrawn = new ArrayList<>(otherJobs(MORE_THAN_QUEUED_MESSAGES));
		withdrawn.add(JOB);
		this.entry.submitAndWithdraw(this.scheduler.id(), List.of(), withdrawn);
		assertJobIsNotKept();
	}

	/** Guards against the same because the write buffer of the link was full. */
	@Example
	void withdrawalOverAFullLinkTakesEffect() {
		submitJob();
		this.relay.stopReading(this.entry.id(), this.scheduler.id());
		List<SubmitJob> large = otherJobs(MORE_THAN_UNSENT_JOBS).stream().map(FleetPeersTests::largeJob).toList();
		this.entry.submitAndWithdraw(this.scheduler.id(), large, List.of(JOB));
		this.relay.resumeReading(this.entry.id(), this.scheduler.id());
		assertJobIsNotKept();
	}

	/** Guards against the same because the withdrawal was refused as too old. */
	@Example
	void withdrawalThatIsRefusedAsTooOldTakesEffect() {
		submitJob();
		this.relay.silenceLink(this.entry.id(), this.scheduler.id());
		this.entry.submitAndWithdraw(this.scheduler.id(), List.of(), List.of(JOB));
		this.clockOffset.addAndGet(2 * SubmissionLeases.DURATION_NANOS);
		this.relay.deliverLink(this.entry.id(), this.scheduler.id());
		awaitHeartbeats();
		assertThat(this.scheduler.refusedMessages()).containsExactly("WITHDRAW_JOB");
		assertThat(this.scheduler.keeps(JOB)).as("scheduler keeps the withdrawn job").isFalse();
	}

	// The heartbeats before the submission show that the link is up.
	private void submitJob() {
		awaitHeartbeats();
		SubmitJob job = SubmitJob.newBuilder().setJobId(JOB.value()).build();
		this.entry.submitAndWithdraw(this.scheduler.id(), List.of(job), List.of());
		assertThat(TestFleet.await(LIMIT, () -> this.scheduler.keeps(JOB))).as("job was submitted").isTrue();
	}

	private void awaitHeartbeats() {
		int before = this.scheduler.heartbeatsReceived();
		assertThat(TestFleet.await(LIMIT, () -> this.scheduler.heartbeatsReceived() >= before + HEARTBEATS))
			.as("heartbeats are received")
			.isTrue();
	}

	private void assertJobIsNotKept() {
		assertThat(TestFleet.await(SUBMISSION_LEASE, () -> !this.scheduler.keeps(JOB)))
			.as("scheduler has given up the withdrawn job")
			.isTrue();
	}

	private static List<JobId> otherJobs(int count) {
		return IntStream.range(0, count).mapToObj((number) -> JobId.of(String.format("%016x", number))).toList();
	}

	private static SubmitJob largeJob(JobId id) {
		return SubmitJob.newBuilder().setJobId(id.value()).setPayload("x".repeat(LARGE_PAYLOAD_BYTES)).build();
	}

}
