package org.limpetgate.submission;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cases of {@link SubmissionSystemTests}: claims, their holders and the claims stream.
 */
final class ClaimFaultCases {

	private static final long SECOND = SubmissionFixture.SECOND;

	private ClaimFaultCases() {
	}

	static void addTo(Map<String, Consumer<SubmissionFixture>> cases) {
		addClaimCases(cases);
		addHolderCases(cases);
		addLogCases(cases);
	}

	private static void addClaimCases(Map<String, Consumer<SubmissionFixture>> cases) {
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
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.job(false, 1), 0)));
			f.storeAndRead(f.claims);
			assertThat(f.starts).isEmpty();
			assertThat(f.forwards).containsExactly(SubmissionFixture.OTHER);
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
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.jobWithKey("held-elsewhere", "a", 1), 0)));
			f.submit(3, f.jobWithKey("held-elsewhere", "b", 1));
			assertThat(f.answer(3)).isEqualTo("unknown KEY_REUSED");
		});
		// Guards against a host that retains fractions of a millisecond, which claims do
		// not carry, and thus mistakes the submission for a reuse of the key.
		cases.put("expiries that differ by less than a millisecond are equal on all hosts", (f) -> {
			Submission withFraction = f.jobWithExpiry(f.expiryNanos + 999_999, 1);
			assertThat(withFraction.expiryNanos()).isEqualTo(f.expiryNanos);
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.jobWithExpiry(f.expiryNanos, 1), 0)));
			f.submit(1, withFraction);
			assertThat(f.forwards).containsExactly(SubmissionFixture.OTHER);
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

	private static void addHolderCases(Map<String, Consumer<SubmissionFixture>> cases) {
		cases.put("a holder that does not respond makes the outcome unknown", (f) -> {
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 1));
			f.system.peerFailed(1, false, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_UNREACHABLE");
		});
		cases.put("a job of a dead holder is never started again", (f) -> {
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			f.system.incarnationDead(SubmissionFixture.OTHER, f.now);
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.submit(2, f.job(false, 3));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("the previous incarnation of a restarted holder is dead", (f) -> {
			f.storeAndRead(List.of(f.claimOf(Incarnation.of(SubmissionFixture.SELF.host(), 4), f.job(false, 1), 0)));
			f.submit(1, f.job(false, 2));
			assertThat(f.answer(1)).isEqualTo("unknown HOLDER_LOST");
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.jobWithKey("b", "b", 1), 0)));
			f.system.incarnationAlive(Incarnation.of(SubmissionFixture.OTHER.host(), 8), f.now);
			f.submit(2, f.jobWithKey("b", "b", 2));
			assertThat(f.answer(2)).isEqualTo("unknown HOLDER_LOST");
		});
		cases.put("an idempotent job of a dead holder is claimed with the next generation", (f) -> {
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(SubmissionFixture.OTHER, f.now);
			f.submit(1, f.job(true, 2));
			assertThat(f.claims.get(0).generation()).isEqualTo(1);
			f.storeAndRead(f.claims);
			assertThat(f.starts).hasSize(1);
		});
		cases.put("a job of a later generation that was not run here does not have the outcome not-run", (f) -> {
			f.storeAndRead(List.of(f.claimOf(SubmissionFixture.OTHER, f.job(true, 1), 0)));
			f.system.incarnationDead(SubmissionFixture.OTHER, f.now);
			f.submit(1, f.job(true, 1));
			f.storeAndRead(f.claims);
			f.endTasks(f.starts.get(0), Outcome.NOT_RUN);
			assertThat(f.answer(1)).isEqualTo("unknown OVERLOADED");
		});
	}

	private static void addLogCases(Map<String, Consumer<SubmissionFixture>> cases) {
		cases.put("idempotent jobs and tickets run while the log is down", (f) -> {
			f.submit(1, f.jobWithKey("a", "a", 1));
			f.system.appendFailed(1, f.now);
			f.submit(2, f.job(true, 1));
			assertThat(f.starts).hasSize(1);
			f.submit(3, f.ticketJob(f.system.issueTickets(SubmissionFixture.CALLER, 1, f.now).get(0)));
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
			f.boot(SubmissionFixture.HOME);
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
			f.boot(SubmissionFixture.HOME, SubmissionFixture.AWAY);
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

}
