package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SubmissionSystem} with single faults. Combinations of faults are
 * covered by {@link SubmissionSimulationTests}.
 */
class SubmissionSystemTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.US_ASCII);

	private static final CallerId CALLER = CallerId.of("caller");

	private static final DataCentreId HOME = DataCentreId.of("home");

	private static final DataCentreId AWAY = DataCentreId.of("away");

	private static final Incarnation SELF = Incarnation.of(HostId.of("self"), 5);

	private static final Incarnation OTHER = Incarnation.of(HostId.of("other"), 7);

	@Example
	void submissionsSurviveSingleFaults() {
		Map<String, Consumer<Fixture>> cases = new LinkedHashMap<>();
		addClaimCases(cases);
		addHolderCases(cases);
		addLogCases(cases);
		addRefusalCases(cases);
		addJobCases(cases);
		List<String> failures = new ArrayList<>();
		cases.forEach((name, steps) -> {
			Fixture fixture = new Fixture();
			try {
				steps.accept(fixture);
				assertThat(fixture.system.counts().brokenInvariants()).isZero();
			}
			catch (AssertionError | RuntimeException ex) {
				failures.add(name + ": " + ex);
			}
		});
		assertThat(failures).isEmpty();
	}

	private static void addClaimCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("a job starts once, and only after its claim was read back", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.claimsAppended(1, f.now);
			f.tick();
			assertThat(f.starts).isEmpty();
			f.storeAndRead(f.claims);
			f.storeAndRead(f.claims);
			assertThat(f.starts).hasSize(1);
			f.completeTasks(f.starts.get(0));
			assertThat(f.answer(1)).isEqualTo("complete");
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("complete");
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a job whose claim is not the first is forwarded to the holder", (f) -> {
			f.submit(1, f.job(false, 1));
			f.storeAndRead(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.storeAndRead(f.claims);
			assertThat(f.starts).isEmpty();
			assertThat(f.forwards).containsExactly(OTHER);
			f.system.peerReplied(1, Answer.complete(List.of()), f.now);
			assertThat(f.answer(1)).isEqualTo("complete");
		});
		cases.put("a claim that is read back too late stays valid, and a resubmission starts the job", (f) -> {
			f.submit(1, f.job(false, 1));
			f.submit(2, f.job(false, 2));
			f.advance(2 * SECOND);
			assertThat(f.answer(1)).isEqualTo("not-run HISTORY_UNAVAILABLE");
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.retryAfterNanos(1)).isPositive();
			f.storeAndRead(f.claims);
			assertThat(f.starts).isEmpty();
			f.submit(3, f.job(false, 3));
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a lost response to an append leads to a second append and only one start", (f) -> {
			f.submit(1, f.job(false, 1));
			List<Claim> first = f.claims;
			f.system.appendFailed(1, f.now);
			f.advance(SECOND);
			assertThat(f.appends).isEqualTo(2);
			assertThat(f.claims).isEqualTo(first);
			f.storeAndRead(first);
			f.storeAndRead(f.claims);
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a submission that reuses a key with another body is refused", (f) -> {
			f.submit(1, f.job(false, 1));
			f.storeAndRead(f.claims);
			f.submit(2, f.job("other body", 2));
			assertThat(f.answer(2)).isEqualTo("unknown KEY_REUSED");
			f.storeAndRead(List.of(f.claimOf(OTHER, f.jobWithKey("held-elsewhere", "a", 1), 0)));
			f.submit(3, f.jobWithKey("held-elsewhere", "b", 1));
			assertThat(f.answer(3)).isEqualTo("unknown KEY_REUSED");
		});
		// Guards against a host that retains fractions of a millisecond, which claims do
		// not carry, and thus mistakes the submission for a reuse of the key.
		cases.put("expiries that differ by less than a millisecond are equal on all hosts", (f) -> {
			Submission withFraction = f.jobWithExpiry(f.expiryNanos + 999_999, 1);
			assertThat(withFraction.expiryNanos()).isEqualTo(f.expiryNanos);
			f.storeAndRead(List.of(f.claimOf(OTHER, f.jobWithExpiry(f.expiryNanos, 1), 0)));
			f.submit(1, withFraction);
			assertThat(f.forwards).containsExactly(OTHER);
		});
		cases.put("simultaneous claims share an append", (f) -> {
			for (int i = 0; i < 50; i++) {
				f.system.submit(100 + i, f.jobWithKey("key" + i, "body", 1), 0, f.now);
			}
			f.tick();
			assertThat(f.appends).isEqualTo(1);
			assertThat(f.claims).hasSize(50);
		});
	}

	// Guards against a host that exceeds its share of the appends per second that the
	// log allows.
	@Example
	void appendRateStaysWithinTheShareOfTheHost() {
		for (int perSecond : new int[] { 1, 10, 30, 50, 100, 1000 }) {
			Fixture fixture = new Fixture();
			int answered = 0;
			for (int i = 0; i < 10 * perSecond; i++) {
				fixture.submit(i, fixture.jobWithKey("key" + i, "body", 1));
				int open = fixture.appends - answered;
				assertThat(open).as(perSecond + " jobs/s").isLessThanOrEqualTo(1);
				fixture.advance(SECOND / perSecond);
				fixture.system.claimsAppended(fixture.appends, fixture.now);
				answered = fixture.appends;
			}
			assertThat(fixture.appends).as(perSecond + " jobs/s")
				.isLessThanOrEqualTo(Math.min(10 * perSecond, 310) + 1);
		}
	}

	private static void addHolderCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("a holder that does not respond makes the outcome unknown", (f) -> {
			f.storeAndRead(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 1));
			f.system.peerFailed(1, false, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_UNREACHABLE");
		});
		cases.put("a job of a dead holder is never started again", (f) -> {
			f.storeAndRead(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			f.system.incarnationDead(OTHER, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.submit(2, f.job(false, 3));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("the previous incarnation of a restarted holder is dead", (f) -> {
			f.storeAndRead(List.of(f.claimOf(Incarnation.of(SELF.host(), 4), f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.storeAndRead(List.of(f.claimOf(OTHER, f.jobWithKey("b", "b", 1), 0)));
			f.system.incarnationAlive(Incarnation.of(OTHER.host(), 8), f.now);
			f.submit(2, f.jobWithKey("b", "b", 2));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("an idempotent job of a dead holder is claimed with the next generation", (f) -> {
			f.storeAndRead(List.of(f.claimOf(OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(OTHER, f.now);
			f.submit(1, f.job(true, 2));
			assertThat(f.claims.get(0).generation()).isEqualTo(1);
			f.storeAndRead(f.claims);
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a job of a later generation that was not run here does not have the outcome not-run", (f) -> {
			f.storeAndRead(List.of(f.claimOf(OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(OTHER, f.now);
			f.submit(1, f.job(true, 1));
			f.storeAndRead(f.claims);
			f.endTasks(f.starts.get(0), Outcome.NOT_RUN);
			assertThat(f.answer(1)).isEqualTo("unknown OVERLOADED");
		});
	}

	private static void addLogCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("idempotent jobs and tickets run while the log is down", (f) -> {
			f.submit(1, f.jobWithKey("a", "a", 1));
			f.system.appendFailed(1, f.now);
			f.submit(2, f.job(true, 1));
			assertThat(f.starts).hasSize(1);
			f.submit(3, f.ticketJob(f.system.issueTickets(CALLER, 1, f.now).get(0)));
			assertThat(f.starts).hasSize(2);
		});
		cases.put("a gap in the stream ends the requests that wait for their claims", (f) -> {
			f.submit(1, f.job(false, 2));
			f.system.claimsRead(List.of(new ClaimRecord(9, f.now, f.claims)), 9, 10, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			f.submit(2, f.job(false, 3));
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.starts).isEmpty();
		});
		cases.put("a stream that became shorter counts as a gap", (f) -> {
			f.storeAndRead(List.of());
			f.system.claimsRead(List.of(), 0, 0, f.now);
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
		});
		cases.put("a restarted host claims keys once the records that it has read reach back far enough", (f) -> {
			f.boot(HOME);
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			long enough = SubmissionSettings.DEFAULT.claimRetentionNanos() + SubmissionSettings.DEFAULT.skewNanos();
			f.system.claimsRead(List.of(new ClaimRecord(40, f.now - enough + 1, List.of())), 40, 41, f.now);
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			f.now++;
			f.submit(3, f.job(false, 2));
			assertThat(f.claims).hasSize(1);
		});
		cases.put("a marker is appended to an idle stream, so that restarted hosts find a record", (f) -> {
			f.advance(SECOND);
			assertThat(f.appends).isEqualTo(1);
			assertThat(f.claims).isEmpty();
		});
		cases.put("the outcome for an unreachable home data centre depends on whether the request was sent", (f) -> {
			f.boot(HOME, AWAY);
			f.submit(1, f.jobWithHomeElsewhere(false, 1));
			f.submit(2, f.jobWithHomeElsewhere(false, 1));
			f.submit(3, f.jobWithHomeElsewhere(true, 1));
			f.system.peerFailed(1, false, f.now);
			f.system.peerFailed(2, true, f.now);
			f.system.peerFailed(3, true, f.now);
			assertThat(f.answer(1)).isEqualTo("not-run HISTORY_UNAVAILABLE");
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.starts).hasSize(1);
			f.endTasks(f.starts.get(0), Outcome.NOT_RUN);
			assertThat(f.answer(3)).isEqualTo("unknown OVERLOADED");
		});
	}

	private static void addRefusalCases(Map<String, Consumer<Fixture>> cases) {
		long[][] expiryOffsets = { { -SECOND, 0 }, { SECOND - 1, 0 }, { 601 * SECOND, 1 } };
		for (long[] expiryOffset : expiryOffsets) {
			cases.put("an expiry " + expiryOffset[0] + " ns ahead is refused", (f) -> {
				ErrorKind kind = (expiryOffset[1] != 0) ? ErrorKind.EXPIRY_TOO_FAR : ErrorKind.EXPIRED;
				f.submit(1, f.jobWithExpiry(f.now + expiryOffset[0], 1));
				f.submit(2, f.jobWithExpiry(f.now + expiryOffset[0], 2));
				assertThat(f.answer(1)).isEqualTo("not-run " + kind);
				assertThat(f.answer(2)).isEqualTo("unknown " + kind);
			});
		}
		cases.put("a job that expires before its claim is read back is not started", (f) -> {
			f.submit(1, f.jobWithExpiry(f.now + SECOND, 2));
			f.now += SECOND;
			f.storeAndRead(f.claims);
			assertThat(f.answer(1)).isEqualTo("not-run EXPIRED");
			assertThat(f.starts).isEmpty();
		});
		cases.put("the job of a ticket is started only by its issuer while that is alive", (f) -> {
			List<Ticket> ownTickets = f.system.issueTickets(CALLER, 1, f.now);
			Ticket otherIssuersTicket = new TicketAuthority(OTHER, SECRET).issue(CALLER, 1, f.now + 60 * SECOND).get(0);
			Ticket forged = new Ticket(SELF, 1, f.now + 60 * SECOND, otherIssuersTicket.code());
			Ticket ofEarlierIncarnation = new TicketAuthority(Incarnation.of(SELF.host(), 4), SECRET)
				.issue(CALLER, 1, f.now + 60 * SECOND)
				.get(0);
			f.submit(1, f.ticketJob(ownTickets.get(0)));
			assertThat(f.starts).hasSize(1);
			f.submit(2, f.ticketJob(otherIssuersTicket));
			assertThat(f.forwards).containsExactly(OTHER);
			f.system.incarnationDead(OTHER, f.now);
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
			f.submit(3, f.ticketJob(forged));
			assertThat(f.answer(3)).isEqualTo("not-run INVALID_TICKET");
			f.submit(4, f.ticketJob(ofEarlierIncarnation));
			assertThat(f.answer(4)).isEqualTo("unknown HOLDER_LOST");
			assertThat(f.starts).hasSize(1);
		});
		// Guards against a false outcome or a lost right to start when the secret of a
		// ticket is removed while its issuer runs the job.
		cases.put(
				"a new job with a ticket of a removed secret does not have the outcome not-run, and a held job can still start",
				(f) -> {
					Ticket held = f.system.issueTickets(CALLER, 1, f.now).get(0);
					Ticket unused = f.system.issueTickets(CALLER, 1, f.now).get(0);
					f.submit(1, f.ticketJob(held));
					f.endTasks(f.starts.get(0), Outcome.NOT_RUN);
					f.tickets.replaceSecrets(List.of(new byte[16]));
					f.submit(2, f.ticketJob(held));
					assertThat(f.starts).hasSize(2);
					f.submit(3, f.jobWithKey(unused.toKey().value(), "body", 2));
					assertThat(f.answer(3)).isEqualTo("unknown INVALID_TICKET");
				});
		cases.put("a job that can never run is refused immediately with the reason", (f) -> {
			f.impossible = DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN, "needs 99 cores");
			f.submit(1, f.job(false, 1));
			f.submit(2, f.jobWithKey("b", "b", 2));
			assertThat(f.answer(1)).isEqualTo("not-run IMPOSSIBLE");
			assertThat(f.answer(2)).isEqualTo("unknown IMPOSSIBLE");
			assertThat(f.answers.get(1L).message()).contains("needs 99 cores");
			assertThat(f.claims).isEmpty();
		});
		cases.put("a host at its memory limit refuses new jobs and completes the accepted ones", (f) -> {
			f.boot(SubmissionSettings.DEFAULT.withBounds(Duration.ofMinutes(1), 1000, 100, 1000), HOME);
			f.system.claimsRead(List.of(), 0, 0, f.now);
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.submit(2, f.jobWithKey("b", "b", 1));
			assertThat(f.answer(2)).isEqualTo("not-run OVERLOADED");
			assertThat(f.retryAfterNanos(2)).isPositive();
			f.completeTasks(start);
			assertThat(f.answer(1)).isEqualTo("complete");
			assertThat(f.system.counts().openBytes()).isZero();
		});
		cases.put("a leaving host accepts no new jobs and completes those that it holds", (f) -> {
			f.submit(1, f.job(false, 1));
			f.storeAndRead(f.claims);
			f.system.drain();
			f.submit(2, f.jobWithKey("b", "b", 1));
			assertThat(f.answer(2)).isEqualTo("not-run SHUTTING_DOWN");
			f.completeTasks(f.starts.get(0));
			assertThat(f.answer(1)).isEqualTo("complete");
		});
		// Guards against a host that terminates before callers have collected their
		// results.
		Map<String, Consumer<Fixture>> collections = new LinkedHashMap<>();
		collections.put("a query", (f) -> f.system.query(9, CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a cancellation", (f) -> f.system.cancel(9, CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a resubmission", (f) -> f.submit(9, f.job(false, 2)));
		collections.put("the end of the retention time for results",
				(f) -> f.advance(SubmissionSettings.DEFAULT.resultRetentionNanos() + SECOND));
		collections.forEach((name, collect) -> cases
			.put("a leaving host counts an accepted job as uncollected until " + name, (f) -> {
				SubmissionEffect.StartTasks start = f.startJob(f.asynchronousJob(1));
				assertThat(f.answers.get(1L).isAccepted()).isTrue();
				f.system.drain();
				f.system.query(2, CALLER, SubmissionKey.of("key"), 0, f.now);
				f.system.query(3, CALLER, SubmissionKey.of("key"), 0, f.now);
				f.completeTasks(start);
				assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
				f.submit(4, f.jobWithKey("key", "other body", 2));
				assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
				collect.accept(f);
				assertThat(f.answer(9)).isIn("complete", "none");
				assertThat(f.system.counts().uncollectedJobs()).isZero();
			}));
		cases.put(
				"a leaving host counts an accepted job that was not run as uncollected until a caller receives its outcome",
				(f) -> {
					f.endTasks(f.startJob(f.asynchronousJob(1)), Outcome.NOT_RUN);
					f.system.drain();
					assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
					f.system.query(2, CALLER, SubmissionKey.of("key"), 0, f.now);
					assertThat(f.answer(2)).isEqualTo("not-run UNKNOWN_SUBMISSION");
					assertThat(f.system.counts().uncollectedJobs()).isZero();
				});
		cases.put("an answer to a caller that has disconnected does not count as collected", (f) -> {
			SubmissionEffect.StartTasks start = f.startJob(f.asynchronousJob(1));
			f.submit(2, f.job(false, 2));
			f.system.abandon(2, f.now);
			f.completeTasks(start);
			assertThat(f.answers).doesNotContainKey(2L);
			assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
		});
		cases.put("a job whose caller has disconnected does not start", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.abandon(1, f.now);
			f.storeAndRead(f.claims);
			assertThat(f.starts).isEmpty();
			assertThat(f.answers).isEmpty();
		});
	}

	private static void addJobCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("a failed task fails the job, cancels the other tasks and reports the outcome of each", (f) -> {
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.system.taskEnded(start.jobRunNumber(), 1, f.result(Outcome.FAILED), f.now);
			f.tick();
			assertThat(f.cancels).isEqualTo(1);
			assertThat(f.answers).isEmpty();
			f.system.taskEnded(start.jobRunNumber(), 0, f.result(Outcome.NOT_RUN), f.now);
			assertThat(f.answer(1)).isEqualTo("failed TASK_FAILED");
			assertThat(f.answers.get(1L).tasks()).extracting((task) -> task.result().outcome())
				.containsExactly(Outcome.NOT_RUN, Outcome.FAILED);
			assertThat(f.answers.get(1L).message()).contains("task1");
		});
		Outcome[][] outcomeRows = { { Outcome.COMPLETE, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.COMPLETE, Outcome.NOT_RUN, Outcome.FAILED },
				{ Outcome.FAILED, Outcome.UNKNOWN, Outcome.FAILED },
				{ Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.NOT_RUN, Outcome.NOT_RUN, Outcome.NOT_RUN } };
		for (Outcome[] outcomes : outcomeRows) {
			cases.put("tasks " + outcomes[0] + " and " + outcomes[1] + " make the job " + outcomes[2], (f) -> {
				SubmissionEffect.StartTasks start = f.startJob(f.job(false, 2));
				f.system.taskEnded(start.jobRunNumber(), 0, f.result(outcomes[0]), f.now);
				f.system.taskEnded(start.jobRunNumber(), 1, f.result(outcomes[1]), f.now);
				f.system.taskEnded(start.jobRunNumber(), 1, f.result(Outcome.COMPLETE), f.now);
				assertThat(f.answer(1)).startsWith(outcomes[2].text());
				f.submit(2, f.job(false, 3));
				assertThat(f.starts).hasSize((outcomes[2] == Outcome.NOT_RUN) ? 2 : 1);
			});
		}
		cases.put("a late result of an earlier run has no effect on the next run", (f) -> {
			SubmissionEffect.StartTasks first = f.startJob(f.job(false, 1));
			f.endTasks(first, Outcome.NOT_RUN);
			f.submit(2, f.job(false, 2));
			f.completeTasks(first);
			assertThat(f.answers).doesNotContainKey(2L);
		});
		cases.put("an evicted result is never returned in part", (f) -> {
			f.completeTasks(f.startJob(f.job(false, 1)));
			f.advance(SubmissionSettings.DEFAULT.resultRetentionNanos() + SECOND);
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			assertThat(f.answers.get(2L).tasks()).isEmpty();
			assertThat(f.system.counts().resultBytes()).isZero();
		});
		cases.put("a cancelled job that has not started never starts", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.cancel(2, CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(1)).isEqualTo("not-run CANCELLED");
			f.storeAndRead(f.claims);
			f.submit(3, f.job(false, 2));
			assertThat(f.answer(3)).isEqualTo("not-run CANCELLED");
			assertThat(f.starts).isEmpty();
		});
		cases.put("many cancellations cause one effect for each open task", (f) -> {
			int jobs = 20_000;
			List<Ticket> tickets = new ArrayList<>();
			while (tickets.size() < jobs) {
				tickets.addAll(f.system.issueTickets(CALLER, 1000, f.now));
			}
			tickets.forEach((ticket) -> f.system.submit(ticket.serial(), f.ticketJob(ticket), 0, f.now));
			tickets.forEach((ticket) -> f.system.cancel(jobs + ticket.serial(), CALLER, ticket.toKey(), 0, f.now));
			f.tick();
			assertThat(f.cancels).isEqualTo(2 * jobs);
			f.starts.forEach((start) -> f.endTasks(start, Outcome.NOT_RUN));
			assertThat(f.answers).hasSize(2 * jobs);
			assertThat(f.answer(jobs)).isEqualTo("not-run CANCELLED");
		});
		cases.put("a query returns the state of a job", (f) -> {
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.system.query(2, CALLER, SubmissionKey.of("other"), 0, f.now);
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			f.system.query(3, CALLER, SubmissionKey.of("key"), 0, f.now);
			f.tick();
			assertThat(f.answers.get(3L).isAccepted()).isTrue();
			f.completeTasks(start);
			f.system.query(4, CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(4)).isEqualTo("complete");
		});
	}

	/**
	 * A system whose effects are recorded.
	 */
	private static final class Fixture {

		private final List<SubmissionEffect.StartTasks> starts = new ArrayList<>();

		private final List<Incarnation> forwards = new ArrayList<>();

		private final Map<Long, Answer> answers = new LinkedHashMap<>();

		private final TicketAuthority tickets = new TicketAuthority(SELF, SECRET);

		private SubmissionSystem system;

		private long now = 1_700_000_000L * SECOND;

		private long expiryNanos = this.now + 300 * SECOND;

		private List<Claim> claims = List.of();

		private int appends;

		private int cancels;

		private long storedRecords;

		private int keyCount;

		private DispatchException impossible;

		Fixture() {
			boot(HOME);
			this.system.claimsRead(List.of(), 0, 0, this.now);
		}

		private void boot(DataCentreId... dataCentres) {
			boot(SubmissionSettings.DEFAULT, dataCentres);
		}

		private void boot(SubmissionSettings settings, DataCentreId... dataCentres) {
			this.system = new SubmissionSystem(SELF, DataCentres.of(HOME, List.of(dataCentres)), settings, this.tickets,
					(submission) -> this.impossible, new Random(1));
		}

		private void submit(long request, Submission submission) {
			this.system.submit(request, submission, 0, this.now);
			tick();
		}

		private SubmissionEffect.StartTasks startJob(Submission submission) {
			submit(1, submission);
			storeAndRead(this.claims);
			return this.starts.get(0);
		}

		private void storeAndRead(List<Claim> batch) {
			ClaimRecord record = new ClaimRecord(this.storedRecords++, this.now, batch);
			this.system.claimsRead(List.of(record), 0, this.storedRecords, this.now);
			tick();
		}

		private void advance(long nanos) {
			this.now += nanos;
			tick();
		}

		private void tick() {
			this.system.tick(this.now, this::recordEffect);
		}

		private void recordEffect(SubmissionEffect effect) {
			if (effect instanceof SubmissionEffect.AppendClaims append) {
				this.claims = append.claims();
				this.appends++;
			}
			else if (effect instanceof SubmissionEffect.StartTasks start) {
				this.starts.add(start);
			}
			else if (effect instanceof SubmissionEffect.CancelTask) {
				this.cancels++;
			}
			else if (effect instanceof SubmissionEffect.ForwardToHost forward) {
				this.forwards.add(forward.target());
			}
			else if (effect instanceof SubmissionEffect.Reply reply) {
				assertThat(this.answers.put(reply.request(), reply.answer())).isNull();
			}
		}

		private void completeTasks(SubmissionEffect.StartTasks start) {
			endTasks(start, Outcome.COMPLETE);
		}

		private void endTasks(SubmissionEffect.StartTasks start, Outcome outcome) {
			for (int i = 0; i < start.submission().tasks().size(); i++) {
				this.system.taskEnded(start.jobRunNumber(), i, result(outcome), this.now);
			}
			tick();
		}

		private TaskResult result(Outcome outcome) {
			return (outcome == Outcome.COMPLETE) ? TaskResult.complete(200, SECRET)
					: TaskResult.incomplete(outcome, ErrorKind.OVERLOADED, "refused", SECOND);
		}

		private String answer(long request) {
			tick();
			Answer answer = this.answers.get(request);
			return (answer != null) ? answer.outcome().text() + ((answer.error() != null) ? " " + answer.error() : "")
					: "none";
		}

		private long retryAfterNanos(long request) {
			return this.answers.get(request).retryAfterNanos();
		}

		private Claim claimOf(Incarnation holder, Submission submission, int generation) {
			return new Claim(submission.keyHash(), submission.fingerprint(), holder, submission.expiryNanos(),
					generation);
		}

		private Submission job(boolean idempotent, int attempt) {
			return build("key", "body", this.expiryNanos, idempotent, attempt);
		}

		private Submission asynchronousJob(int attempt) {
			Submission synchronousJob = job(false, attempt);
			return Submission.of(CALLER, synchronousJob.key(), this.expiryNanos, attempt, false,
					synchronousJob.tasks());
		}

		private Submission job(String body, int attempt) {
			return build("key", body, this.expiryNanos, false, attempt);
		}

		private Submission jobWithExpiry(long expiryNanos, int attempt) {
			return build("key", "body", expiryNanos, false, attempt);
		}

		private Submission ticketJob(Ticket ticket) {
			return build(ticket.toKey().value(), "body", this.expiryNanos, false, 1);
		}

		private Submission jobWithKey(String name, String body, int attempt) {
			return build(name, body, this.expiryNanos, false, attempt);
		}

		private Submission jobWithHomeElsewhere(boolean idempotent, int attempt) {
			DataCentres both = DataCentres.of(HOME, List.of(HOME, AWAY));
			while (true) {
				Submission submission = build("key" + this.keyCount++, "body", this.expiryNanos, idempotent, attempt);
				if (both.homeOf(submission.keyHash()).equals(AWAY)) {
					return submission;
				}
			}
		}

		private Submission build(String key, String body, long expiryNanos, boolean idempotent, int attempt) {
			byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
			List<SubmittedTask> tasks = List.of(SubmittedTask.of("task0", "POST", "/work", bytes, idempotent),
					SubmittedTask.of("task1", "POST", "/work", bytes, idempotent));
			return Submission.of(CALLER, SubmissionKey.of(key), expiryNanos, attempt, true, tasks);
		}

	}

}
