package org.limpetgate.submission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cases of {@link SubmissionSystemTests}: refusals, hosts that are leaving, and callers
 * that have disconnected.
 */
final class RefusalCases {

	private static final long SECOND = SubmissionFixture.SECOND;

	private RefusalCases() {
	}

	static void addTo(Map<String, Consumer<SubmissionFixture>> cases) {
		addRefusalCases(cases);
		addLeavingCases(cases);
	}

	private static void addRefusalCases(Map<String, Consumer<SubmissionFixture>> cases) {
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
			List<Ticket> ownTickets = f.system.issueTickets(SubmissionFixture.CALLER, 1, f.now);
			Ticket otherIssuersTicket = new TicketAuthority(SubmissionFixture.OTHER, SubmissionFixture.SECRET)
				.issue(SubmissionFixture.CALLER, 1, f.now + 60 * SECOND)
				.get(0);
			Ticket forged = new Ticket(SubmissionFixture.SELF, 1, f.now + 60 * SECOND, otherIssuersTicket.code());
			Ticket ofEarlierIncarnation = new TicketAuthority(Incarnation.of(SubmissionFixture.SELF.host(), 4),
					SubmissionFixture.SECRET)
				.issue(SubmissionFixture.CALLER, 1, f.now + 60 * SECOND)
				.get(0);
			f.submit(1, f.ticketJob(ownTickets.get(0)));
			assertThat(f.starts).hasSize(1);
			f.submit(2, f.ticketJob(otherIssuersTicket));
			assertThat(f.forwards).containsExactly(SubmissionFixture.OTHER);
			f.system.incarnationDead(SubmissionFixture.OTHER, f.now);
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
					Ticket held = f.system.issueTickets(SubmissionFixture.CALLER, 1, f.now).get(0);
					Ticket unused = f.system.issueTickets(SubmissionFixture.CALLER, 1, f.now).get(0);
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
			f.boot(SubmissionSettings.DEFAULT.withBounds(Duration.ofMinutes(1), 1000, 100, 1000),
					SubmissionFixture.HOME);
			f.system.claimsRead(List.of(), 0, 0, f.now);
			SubmissionEffect.StartTasks start = f.startJob(f.job(false, 1));
			f.submit(2, f.jobWithKey("b", "b", 1));
			assertThat(f.answer(2)).isEqualTo("not-run OVERLOADED");
			assertThat(f.retryAfterNanos(2)).isPositive();
			f.completeTasks(start);
			assertThat(f.answer(1)).isEqualTo("complete");
			assertThat(f.system.counts().openBytes()).isZero();
		});
	}

	private static void addLeavingCases(Map<String, Consumer<SubmissionFixture>> cases) {
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
		Map<String, Consumer<SubmissionFixture>> collections = new LinkedHashMap<>();
		collections.put("a query",
				(f) -> f.system.query(9, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a cancellation",
				(f) -> f.system.cancel(9, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now));
		collections.put("a resubmission", (f) -> f.submit(9, f.job(false, 2)));
		collections.put("the end of the retention time for results",
				(f) -> f.advance(SubmissionSettings.DEFAULT.resultRetentionNanos() + SECOND));
		collections.forEach((name, collect) -> cases
			.put("a leaving host counts an accepted job as uncollected until " + name, (f) -> {
				SubmissionEffect.StartTasks start = f.startJob(f.asynchronousJob(1));
				assertThat(f.answers.get(1L).isAccepted()).isTrue();
				f.system.drain();
				f.system.query(2, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
				f.system.query(3, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
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
					f.system.query(2, SubmissionFixture.CALLER, SubmissionKey.of("key"), 0, f.now);
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

}
