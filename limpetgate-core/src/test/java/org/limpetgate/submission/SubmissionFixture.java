package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

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
 * A submission system whose effects are recorded, for tests of single faults.
 * <p>
 * The claims stream starts empty, and no job is impossible. Not thread-safe.
 */
final class SubmissionFixture {

	static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.US_ASCII);

	static final CallerId CALLER = CallerId.of("caller");

	static final DataCentreId HOME = DataCentreId.of("home");

	static final DataCentreId AWAY = DataCentreId.of("away");

	static final Incarnation SELF = Incarnation.of(HostId.of("self"), 5);

	static final Incarnation OTHER = Incarnation.of(HostId.of("other"), 7);

	final List<SubmissionEffect.StartTasks> starts = new ArrayList<>();

	final List<Incarnation> forwards = new ArrayList<>();

	final Map<Long, Answer> answers = new LinkedHashMap<>();

	final TicketAuthority tickets = new TicketAuthority(SELF, SECRET);

	SubmissionSystem system;

	long now = 1_700_000_000L * SECOND;

	long expiryNanos = this.now + 300 * SECOND;

	List<Claim> claims = List.of();

	int appends;

	int cancels;

	private long storedRecords;

	private int keyCount;

	DispatchException impossible;

	SubmissionFixture() {
		boot(HOME);
		this.system.claimsRead(List.of(), 0, 0, this.now);
	}

	void boot(DataCentreId... dataCentres) {
		boot(SubmissionSettings.DEFAULT, dataCentres);
	}

	void boot(SubmissionSettings settings, DataCentreId... dataCentres) {
		this.system = new SubmissionSystem(SELF, DataCentres.of(HOME, List.of(dataCentres)), settings, this.tickets,
				(submission) -> this.impossible, new Random(1));
	}

	void submit(long request, Submission submission) {
		this.system.submit(request, submission, 0, this.now);
		tick();
	}

	SubmissionEffect.StartTasks startJob(Submission submission) {
		submit(1, submission);
		storeAndRead(this.claims);
		return this.starts.get(0);
	}

	void storeAndRead(List<Claim> batch) {
		ClaimRecord record = new ClaimRecord(this.storedRecords++, this.now, batch);
		this.system.claimsRead(List.of(record), 0, this.storedRecords, this.now);
		tick();
	}

	void advance(long nanos) {
		this.now += nanos;
		tick();
	}

	void tick() {
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

	void completeTasks(SubmissionEffect.StartTasks start) {
		endTasks(start, Outcome.COMPLETE);
	}

	void endTasks(SubmissionEffect.StartTasks start, Outcome outcome) {
		for (int i = 0; i < start.submission().tasks().size(); i++) {
			this.system.taskEnded(start.jobRunNumber(), i, result(outcome), this.now);
		}
		tick();
	}

	TaskResult result(Outcome outcome) {
		return (outcome == Outcome.COMPLETE) ? TaskResult.complete(200, SECRET)
				: TaskResult.incomplete(outcome, ErrorKind.OVERLOADED, "refused", SECOND);
	}

	String answer(long request) {
		tick();
		Answer answer = this.answers.get(request);
		return (answer != null) ? answer.outcome().text() + ((answer.error() != null) ? " " + answer.error() : "")
				: "none";
	}

	long retryAfterNanos(long request) {
		return this.answers.get(request).retryAfterNanos();
	}

	Claim claimOf(Incarnation holder, Submission submission, int generation) {
		return new Claim(submission.keyHash(), submission.fingerprint(), holder, submission.expiryNanos(), generation);
	}

	Submission job(boolean idempotent, int attempt) {
		return build("key", "body", this.expiryNanos, idempotent, attempt);
	}

	Submission asynchronousJob(int attempt) {
		Submission synchronousJob = job(false, attempt);
		return Submission.of(CALLER, synchronousJob.key(), this.expiryNanos, attempt, false, synchronousJob.tasks());
	}

	Submission job(String body, int attempt) {
		return build("key", body, this.expiryNanos, false, attempt);
	}

	Submission jobWithExpiry(long expiryNanos, int attempt) {
		return build("key", "body", expiryNanos, false, attempt);
	}

	Submission ticketJob(Ticket ticket) {
		return build(ticket.toKey().value(), "body", this.expiryNanos, false, 1);
	}

	Submission jobWithKey(String name, String body, int attempt) {
		return build(name, body, this.expiryNanos, false, attempt);
	}

	Submission jobWithHomeElsewhere(boolean idempotent, int attempt) {
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
