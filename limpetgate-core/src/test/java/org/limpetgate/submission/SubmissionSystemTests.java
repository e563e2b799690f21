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
 * Cases of single faults for {@link SubmissionSystem}. Combinations of faults are left to
 * {@link SubmissionSimulationTests}.
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
	void eachCaseHolds() {
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
		cases.put("a job starts only after its claim was read back, and once", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.claimsAppended(1, f.now);
			f.tick();
			assertThat(f.starts).isEmpty();
			f.store(f.claims);
			f.store(f.claims);
			assertThat(f.starts).hasSize(1);
			f.complete(f.starts.get(0));
			assertThat(f.answer(1)).isEqualTo("complete");
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("complete");
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a job whose claim comes second goes to the holder", (f) -> {
			f.submit(1, f.job(false, 1));
			f.store(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.store(f.claims);
			assertThat(f.starts).isEmpty();
			assertThat(f.forwards).containsExactly(OTHER);
			f.system.peerReplied(1, Answer.complete(List.of()), f.now);
			assertThat(f.answer(1)).isEqualTo("complete");
		});
		cases.put("a claim read back too late is kept, and a resubmission starts the job", (f) -> {
			f.submit(1, f.job(false, 1));
			f.submit(2, f.job(false, 2));
			f.pass(2 * SECOND);
			assertThat(f.answer(1)).isEqualTo("not-run HISTORY_UNAVAILABLE");
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.retryAfter(1)).isPositive();
			f.store(f.claims);
			assertThat(f.starts).isEmpty();
			f.submit(3, f.job(false, 3));
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a lost answer to an append leads to a second append and one start", (f) -> {
			f.submit(1, f.job(false, 1));
			List<Claim> first = f.claims;
			f.system.appendFailed(1, f.now);
			f.pass(SECOND);
			assertThat(f.appends).isEqualTo(2);
			assertThat(f.claims).isEqualTo(first);
			f.store(first);
			f.store(f.claims);
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a claim on a key with another body is refused", (f) -> {
			f.submit(1, f.job(false, 1));
			f.store(f.claims);
			f.submit(2, f.job("other body", 2));
			assertThat(f.answer(2)).isEqualTo("unknown KEY_REUSED");
			f.store(List.of(f.claimOf(OTHER, f.named("held-elsewhere", "a", 1), 0)));
			f.submit(3, f.named("held-elsewhere", "b", 1));
			assertThat(f.answer(3)).isEqualTo("unknown KEY_REUSED");
		});
		// Claims carry milliseconds; a host with finer expiries would see a reused key.
		cases.put("expiries that differ by less than a millisecond are the same at all hosts", (f) -> {
			Submission fine = f.withExpiry(f.expiry + 999_999, 1);
			assertThat(fine.expiryNanos()).isEqualTo(f.expiry);
			f.store(List.of(f.claimOf(OTHER, f.withExpiry(f.expiry, 1), 0)));
			f.submit(1, fine);
			assertThat(f.forwards).containsExactly(OTHER);
		});
		cases.put("claims of one moment share an append", (f) -> {
			for (int i = 0; i < 50; i++) {
				f.system.submit(100 + i, f.named("key" + i, "body", 1), 0, f.now);
			}
			f.tick();
			assertThat(f.appends).isEqualTo(1);
			assertThat(f.claims).hasSize(50);
		});
	}

	// Guards against a host that takes more than its share of the log's appends.
	@Example
	void appendsKeepToTheShareAtAnyRate() {
		for (int perSecond : new int[] { 1, 10, 30, 50, 100, 1000 }) {
			Fixture fixture = new Fixture();
			int answered = 0;
			for (int i = 0; i < 10 * perSecond; i++) {
				fixture.submit(i, fixture.named("key" + i, "body", 1));
				int open = fixture.appends - answered;
				assertThat(open).as(perSecond + " jobs/s").isLessThanOrEqualTo(1);
				fixture.pass(SECOND / perSecond);
				fixture.system.claimsAppended(fixture.appends, fixture.now);
				answered = fixture.appends;
			}
			assertThat(fixture.appends).as(perSecond + " jobs/s")
				.isLessThanOrEqualTo(Math.min(10 * perSecond, 310) + 1);
		}
	}

	private static void addHolderCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("a holder that does not answer makes the outcome unknown", (f) -> {
			f.store(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 1));
			f.system.peerFailed(1, false, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_UNREACHABLE");
		});
		cases.put("a dead holder's job is never started again", (f) -> {
			f.store(List.of(f.claimOf(OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			f.system.incarnationDead(OTHER, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.submit(2, f.job(false, 3));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("a restarted holder is dead", (f) -> {
			f.store(List.of(f.claimOf(Incarnation.of(SELF.host(), 4), f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.store(List.of(f.claimOf(OTHER, f.named("b", "b", 1), 0)));
			f.system.incarnationAlive(Incarnation.of(OTHER.host(), 8), f.now);
			f.submit(2, f.named("b", "b", 2));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("an idempotent job of a dead holder gets the next generation", (f) -> {
			f.store(List.of(f.claimOf(OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(OTHER, f.now);
			f.submit(1, f.job(true, 2));
			assertThat(f.claims.get(0).generation()).isEqualTo(1);
			f.store(f.claims);
			assertThat(f.starts).hasSize(1);
		});
		cases.put("an unstarted job of a later generation is not called not-run", (f) -> {
			f.store(List.of(f.claimOf(OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(OTHER, f.now);
			f.submit(1, f.job(true, 1));
			f.store(f.claims);
			f.end(f.starts.get(0), Outcome.NOT_RUN);
			assertThat(f.answer(1)).isEqualTo("unknown OVERLOADED");
		});
	}

	private static void addLogCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("idempotent jobs and tickets run while the log is down", (f) -> {
			f.submit(1, f.named("a", "a", 1));
			f.system.appendFailed(1, f.now);
			f.submit(2, f.job(true, 1));
			assertThat(f.starts).hasSize(1);
			f.submit(3, f.ticketJob(f.system.issueTickets(CALLER, 1, f.now).get(0)));
			assertThat(f.starts).hasSize(2);
		});
		cases.put("a gap stops jobs that wait for their claims", (f) -> {
			f.submit(1, f.job(false, 2));
			f.system.claimsRead(List.of(new ClaimRecord(9, f.now, f.claims)), 9, 10, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			f.submit(2, f.job(false, 3));
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.starts).isEmpty();
		});
		cases.put("a log that lost its end is a gap", (f) -> {
			f.store(List.of());
			f.system.claimsRead(List.of(), 0, 0, f.now);
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
		});
		cases.put("a booting host claims once its records reach back far enough", (f) -> {
			f.boot(HOME);
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			long enough = SubmissionSettings.DEFAULT.horizonNanos() + SubmissionSettings.DEFAULT.skewNanos();
			f.system.claimsRead(List.of(new ClaimRecord(40, f.now - enough + 1, List.of())), 40, 41, f.now);
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			f.now++;
			f.submit(3, f.job(false, 2));
			assertThat(f.claims).hasSize(1);
		});
		cases.put("a quiet stream gets a marker so that booting hosts find a record", (f) -> {
			f.pass(SECOND);
			assertThat(f.appends).isEqualTo(1);
			assertThat(f.claims).isEmpty();
		});
		cases.put("a home data centre out of reach is answered by what was sent", (f) -> {
			f.boot(HOME, AWAY);
			f.submit(1, f.foreign(false, 1));
			f.submit(2, f.foreign(false, 1));
			f.submit(3, f.foreign(true, 1));
			f.system.peerFailed(1, false, f.now);
			f.system.peerFailed(2, true, f.now);
			f.system.peerFailed(3, true, f.now);
			assertThat(f.answer(1)).isEqualTo("not-run HISTORY_UNAVAILABLE");
			assertThat(f.answer(2)).isEqualTo("unknown HISTORY_UNAVAILABLE");
			assertThat(f.starts).hasSize(1);
			f.end(f.starts.get(0), Outcome.NOT_RUN);
			assertThat(f.answer(3)).isEqualTo("unknown OVERLOADED");
		});
	}

	private static void addRefusalCases(Map<String, Consumer<Fixture>> cases) {
		long[][] aheads = { { -SECOND, 0 }, { SECOND - 1, 0 }, { 601 * SECOND, 1 } };
		for (long[] ahead : aheads) {
			cases.put("an expiry " + ahead[0] + " ns ahead is refused", (f) -> {
				ErrorKind kind = (ahead[1] != 0) ? ErrorKind.EXPIRY_TOO_FAR : ErrorKind.EXPIRED;
				f.submit(1, f.withExpiry(f.now + ahead[0], 1));
				f.submit(2, f.withExpiry(f.now + ahead[0], 2));
				assertThat(f.answer(1)).isEqualTo("not-run " + kind);
				assertThat(f.answer(2)).isEqualTo("unknown " + kind);
			});
		}
		cases.put("a job that expires before its claim is read back is not started", (f) -> {
			f.submit(1, f.withExpiry(f.now + SECOND, 2));
			f.now += SECOND;
			f.store(f.claims);
			assertThat(f.answer(1)).isEqualTo("not-run EXPIRED");
			assertThat(f.starts).isEmpty();
		});
		cases.put("tickets are started by their living issuer alone", (f) -> {
			List<Ticket> own = f.system.issueTickets(CALLER, 1, f.now);
			Ticket others = new TicketAuthority(OTHER, SECRET).issue(CALLER, 1, f.now + 60 * SECOND).get(0);
			Ticket forged = new Ticket(SELF, 1, f.now + 60 * SECOND, others.code());
			Ticket stale = new TicketAuthority(Incarnation.of(SELF.host(), 4), SECRET)
				.issue(CALLER, 1, f.now + 60 * SECOND)
				.get(0);
			f.submit(1, f.ticketJob(own.get(0)));
			assertThat(f.starts).hasSize(1);
			f.submit(2, f.ticketJob(others));
			assertThat(f.forwards).containsExactly(OTHER);
			f.system.incarnationDead(OTHER, f.now);
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
			f.submit(3, f.ticketJob(forged));
			assertThat(f.answer(3)).isEqualTo("not-run INVALID_TICKET");
			f.submit(4, f.ticketJob(stale));
			assertThat(f.answer(4)).isEqualTo("unknown HOLDER_LOST");
			assertThat(f.starts).hasSize(1);
		});
		// The secret of a ticket may be removed while the issuer runs its job.
		cases.put("a ticket of a removed secret is not called not-run, and a held job keeps its right", (f) -> {
			Ticket held = f.system.issueTickets(CALLER, 1, f.now).get(0);
			Ticket fresh = f.system.issueTickets(CALLER, 1, f.now).get(0);
			f.submit(1, f.ticketJob(held));
			f.end(f.starts.get(0), Outcome.NOT_RUN);
			f.tickets.replaceSecrets(List.of(new byte[16]));
			f.submit(2, f.ticketJob(held));
			assertThat(f.starts).hasSize(2);
			f.submit(3, f.named(fresh.toKey().value(), "body", 2));
			assertThat(f.answer(3)).isEqualTo("unknown INVALID_TICKET");
		});
		cases.put("a job that can never run is refused at once with the reason", (f) -> {
			f.impossible = DispatchException.of(ErrorKind.IMPOSSIBLE, Outcome.NOT_RUN, "needs 99 cores");
			f.submit(1, f.job(false, 1));
			f.submit(2, f.named("b", "b", 2));
			assertThat(f.answer(1)).isEqualTo("not-run IMPOSSIBLE");
			assertThat(f.answer(2)).isEqualTo("unknown IMPOSSIBLE");
			assertThat(f.answers.get(1L).message()).contains("needs 99 cores");
			assertThat(f.claims).isEmpty();
		});
		cases.put("a host without memory for another job refuses it and keeps those it has", (f) -> {
			f.boot(SubmissionSettings.DEFAULT.withBounds(Duration.ofMinutes(1), 1000, 100, 1000), HOME);
			f.system.claimsRead(List.of(), 0, 0, f.now);
			SubmissionEffect.StartTasks start = f.started(f.job(false, 1));
			f.submit(2, f.named("b", "b", 1));
			assertThat(f.answer(2)).isEqualTo("not-run OVERLOADED");
			assertThat(f.retryAfter(2)).isPositive();
			f.complete(start);
			assertThat(f.answer(1)).isEqualTo("complete");
			assertThat(f.system.counts().openBytes()).isZero();
		});
		cases.put("a leaving host takes no new jobs and ends those that it holds", (f) -> {
			f.submit(1, f.job(false, 1));
			f.store(f.claims);
			f.system.drain();
			f.submit(2, f.named("b", "b", 1));
			assertThat(f.answer(2)).isEqualTo("not-run SHUTTING_DOWN");
			f.complete(f.starts.get(0));
			assertThat(f.answer(1)).isEqualTo("complete");
		});
		// Guards against a host that ends while a caller still has to collect.
		Map<String, Consumer<Fixture>> collections = new LinkedHashMap<>();
		collections.put("a query", (f) -> f.system.query(9, CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a cancellation", (f) -> f.system.cancel(9, CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a resubmission", (f) -> f.submit(9, f.job(false, 2)));
		collections.put("the end of the time for results",
				(f) -> f.pass(SubmissionSettings.DEFAULT.resultKeepNanos() + SECOND));
		collections.forEach(
				(name, collect) -> cases.put("a leaving host keeps the end of an accepted job until " + name, (f) -> {
					SubmissionEffect.StartTasks start = f.started(f.unwaited(1));
					assertThat(f.answers.get(1L).isAccepted()).isTrue();
					f.system.drain();
					f.system.query(2, CALLER, SubmissionKey.of("key"), 0, f.now);
					f.system.query(3, CALLER, SubmissionKey.of("key"), 0, f.now);
					f.complete(start);
					assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
					f.submit(4, f.named("key", "other body", 2));
					assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
					collect.accept(f);
					assertThat(f.answer(9)).isIn("complete", "none");
					assertThat(f.system.counts().uncollectedJobs()).isZero();
				}));
		cases.put("a leaving host keeps an accepted job that was not run until its caller is told", (f) -> {
			f.end(f.started(f.unwaited(1)), Outcome.NOT_RUN);
			f.system.drain();
			assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
			f.system.query(2, CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(2)).isEqualTo("not-run UNKNOWN_SUBMISSION");
			assertThat(f.system.counts().uncollectedJobs()).isZero();
		});
		cases.put("an answer to a caller that has gone away does not count as collected", (f) -> {
			SubmissionEffect.StartTasks start = f.started(f.unwaited(1));
			f.submit(2, f.job(false, 2));
			f.system.abandon(2, f.now);
			f.complete(start);
			assertThat(f.answers).doesNotContainKey(2L);
			assertThat(f.system.counts().uncollectedJobs()).isEqualTo(1);
		});
		cases.put("a caller that has gone away starts nothing", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.abandon(1, f.now);
			f.store(f.claims);
			assertThat(f.starts).isEmpty();
			assertThat(f.answers).isEmpty();
		});
	}

	private static void addJobCases(Map<String, Consumer<Fixture>> cases) {
		cases.put("a failed task fails the job, cancels the rest and shows each outcome", (f) -> {
			SubmissionEffect.StartTasks start = f.started(f.job(false, 1));
			f.system.taskEnded(start.job(), 1, f.result(Outcome.FAILED), f.now);
			f.tick();
			assertThat(f.cancels).isEqualTo(1);
			assertThat(f.answers).isEmpty();
			f.system.taskEnded(start.job(), 0, f.result(Outcome.NOT_RUN), f.now);
			assertThat(f.answer(1)).isEqualTo("failed TASK_FAILED");
			assertThat(f.answers.get(1L).tasks()).extracting((task) -> task.result().outcome())
				.containsExactly(Outcome.NOT_RUN, Outcome.FAILED);
			assertThat(f.answers.get(1L).message()).contains("task1");
		});
		Outcome[][] joins = { { Outcome.COMPLETE, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.COMPLETE, Outcome.NOT_RUN, Outcome.FAILED },
				{ Outcome.FAILED, Outcome.UNKNOWN, Outcome.FAILED },
				{ Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.UNKNOWN },
				{ Outcome.NOT_RUN, Outcome.NOT_RUN, Outcome.NOT_RUN } };
		for (Outcome[] join : joins) {
			cases.put("tasks " + join[0] + " and " + join[1] + " make the job " + join[2], (f) -> {
				SubmissionEffect.StartTasks start = f.started(f.job(false, 2));
				f.system.taskEnded(start.job(), 0, f.result(join[0]), f.now);
				f.system.taskEnded(start.job(), 1, f.result(join[1]), f.now);
				f.system.taskEnded(start.job(), 1, f.result(Outcome.COMPLETE), f.now);
				assertThat(f.answer(1)).startsWith(join[2].text());
				f.submit(2, f.job(false, 3));
				assertThat(f.starts).hasSize((join[2] == Outcome.NOT_RUN) ? 2 : 1);
			});
		}
		cases.put("a late result of an earlier run does not count for the next", (f) -> {
			SubmissionEffect.StartTasks first = f.started(f.job(false, 1));
			f.end(first, Outcome.NOT_RUN);
			f.submit(2, f.job(false, 2));
			f.complete(first);
			assertThat(f.answers).doesNotContainKey(2L);
		});
		cases.put("a dropped result is never shown in part", (f) -> {
			f.complete(f.started(f.job(false, 1)));
			f.pass(SubmissionSettings.DEFAULT.resultKeepNanos() + SECOND);
			f.submit(2, f.job(false, 2));
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			assertThat(f.answers.get(2L).tasks()).isEmpty();
			assertThat(f.system.counts().resultBytes()).isZero();
		});
		cases.put("a cancelled job that has not started never starts", (f) -> {
			f.submit(1, f.job(false, 1));
			f.system.cancel(2, CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(1)).isEqualTo("not-run CANCELLED");
			f.store(f.claims);
			f.submit(3, f.job(false, 2));
			assertThat(f.answer(3)).isEqualTo("not-run CANCELLED");
			assertThat(f.starts).isEmpty();
		});
		cases.put("a wave of cancellations costs one effect for each open task", (f) -> {
			int jobs = 20_000;
			List<Ticket> tickets = new ArrayList<>();
			while (tickets.size() < jobs) {
				tickets.addAll(f.system.issueTickets(CALLER, 1000, f.now));
			}
			tickets.forEach((ticket) -> f.system.submit(ticket.serial(), f.ticketJob(ticket), 0, f.now));
			tickets.forEach((ticket) -> f.system.cancel(jobs + ticket.serial(), CALLER, ticket.toKey(), 0, f.now));
			f.tick();
			assertThat(f.cancels).isEqualTo(2 * jobs);
			f.starts.forEach((start) -> f.end(start, Outcome.NOT_RUN));
			assertThat(f.answers).hasSize(2 * jobs);
			assertThat(f.answer(jobs)).isEqualTo("not-run CANCELLED");
		});
		cases.put("a query shows where a job stands", (f) -> {
			SubmissionEffect.StartTasks start = f.started(f.job(false, 1));
			f.system.query(2, CALLER, SubmissionKey.of("other"), 0, f.now);
			assertThat(f.answer(2)).isEqualTo("unknown UNKNOWN_SUBMISSION");
			f.system.query(3, CALLER, SubmissionKey.of("key"), 0, f.now);
			f.tick();
			assertThat(f.answers.get(3L).isAccepted()).isTrue();
			f.complete(start);
			f.system.query(4, CALLER, SubmissionKey.of("key"), 0, f.now);
			assertThat(f.answer(4)).isEqualTo("complete");
		});
	}

	/**
	 * A system with recorded effects.
	 */
	private static final class Fixture {

		private final List<SubmissionEffect.StartTasks> starts = new ArrayList<>();

		private final List<Incarnation> forwards = new ArrayList<>();

		private final Map<Long, Answer> answers = new LinkedHashMap<>();

		private final TicketAuthority tickets = new TicketAuthority(SELF, SECRET);

		private SubmissionSystem system;

		private long now = 1_700_000_000L * SECOND;

		private long expiry = this.now + 300 * SECOND;

		private List<Claim> claims = List.of();

		private int appends;

		private int cancels;

		private long stored;

		private int keys;

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

		private SubmissionEffect.StartTasks started(Submission submission) {
			submit(1, submission);
			store(this.claims);
			return this.starts.get(0);
		}

		private void store(List<Claim> batch) {
			ClaimRecord record = new ClaimRecord(this.stored++, this.now, batch);
			this.system.claimsRead(List.of(record), 0, this.stored, this.now);
			tick();
		}

		private void pass(long nanos) {
			this.now += nanos;
			tick();
		}

		private void tick() {
			this.system.tick(this.now, this::take);
		}

		private void take(SubmissionEffect effect) {
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

		private void complete(SubmissionEffect.StartTasks start) {
			end(start, Outcome.COMPLETE);
		}

		private void end(SubmissionEffect.StartTasks start, Outcome outcome) {
			for (int i = 0; i < start.submission().tasks().size(); i++) {
				this.system.taskEnded(start.job(), i, result(outcome), this.now);
			}
			tick();
		}

		private TaskResult result(Outcome outcome) {
			return (outcome == Outcome.COMPLETE) ? TaskResult.complete(200, SECRET)
					: TaskResult.ended(outcome, ErrorKind.OVERLOADED, "refused", SECOND);
		}

		private String answer(long request) {
			tick();
			Answer answer = this.answers.get(request);
			return (answer != null) ? answer.outcome().text() + ((answer.error() != null) ? " " + answer.error() : "")
					: "none";
		}

		private long retryAfter(long request) {
			return this.answers.get(request).retryAfterNanos();
		}

		private Claim claimOf(Incarnation holder, Submission submission, int generation) {
			return new Claim(submission.keyHash(), submission.fingerprint(), holder, submission.expiryNanos(),
					generation);
		}

		private Submission job(boolean idempotent, int attempt) {
			return build("key", "body", this.expiry, idempotent, attempt);
		}

		private Submission unwaited(int attempt) {
			Submission waited = job(false, attempt);
			return Submission.of(CALLER, waited.key(), this.expiry, attempt, false, waited.tasks());
		}

		private Submission job(String body, int attempt) {
			return build("key", body, this.expiry, false, attempt);
		}

		private Submission withExpiry(long at, int attempt) {
			return build("key", "body", at, false, attempt);
		}

		private Submission ticketJob(Ticket ticket) {
			return build(ticket.toKey().value(), "body", this.expiry, false, 1);
		}

		private Submission named(String name, String body, int attempt) {
			return build(name, body, this.expiry, false, attempt);
		}

		private Submission foreign(boolean idempotent, int attempt) {
			DataCentres both = DataCentres.of(HOME, List.of(HOME, AWAY));
			while (true) {
				Submission submission = build("key" + this.keys++, "body", this.expiry, idempotent, attempt);
				if (both.homeOf(submission.keyHash()).equals(AWAY)) {
					return submission;
				}
			}
		}

		private Submission build(String key, String body, long at, boolean idempotent, int attempt) {
			byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
			List<SubmittedTask> tasks = List.of(SubmittedTask.of("task0", "POST", "/work", bytes, idempotent),
					SubmittedTask.of("task1", "POST", "/work", bytes, idempotent));
			return Submission.of(CALLER, SubmissionKey.of(key), at, attempt, true, tasks);
		}

	}

}
