package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * Sends the replies to open requests and collects the effects for the next tick.
 * <p>
 * Each request gets one reply; replies to requests that are not open are discarded. Not
 * thread-safe.
 */
final class Replies {

	private static final long RETRY_BASE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long RETRY_JITTER_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final RandomGenerator random;

	private final OpenRequests openRequests = new OpenRequests();

	private final ClaimWaits claimWaits = new ClaimWaits();

	private final List<SubmissionEffect> effects = new ArrayList<>();

	private long brokenInvariants;

	Replies(RandomGenerator random) {
		this.random = random;
	}

	OpenRequests openRequests() {
		return this.openRequests;
	}

	ClaimWaits claimWaits() {
		return this.claimWaits;
	}

	void emit(SubmissionEffect effect) {
		this.effects.add(effect);
	}

	boolean hasEffects() {
		return !this.effects.isEmpty();
	}

	// Effects that the consumer triggers are emitted by the next call.
	void emitTo(Consumer<? super SubmissionEffect> consumer) {
		List<SubmissionEffect> due = List.copyOf(this.effects);
		this.effects.clear();
		due.forEach(consumer);
	}

	long brokenInvariants() {
		return this.brokenInvariants;
	}

	List<Waiter> removeWaiters(Job job) {
		List<Waiter> removed = job.waiters;
		job.waiters = new ArrayList<>(1);
		removed.forEach((waiter) -> this.claimWaits.remove(waiter.request()));
		return removed;
	}

	static Outcome refusalOutcome(Waiter waiter) {
		return waiter.provablyNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	void refuse(Waiter waiter, ErrorKind error, String detail) {
		refuse(waiter, refusalOutcome(waiter), error, detail);
	}

	void refuse(Waiter waiter, Outcome outcome, ErrorKind error, String detail) {
		reply(waiter.request(), Answer.refusal(outcome, error, detail, 0));
	}

	void refuse(Waiter waiter, Outcome outcome, DispatchException reason) {
		reply(waiter.request(),
				Answer.error(outcome, reason.kind(), reason.getMessage(), reason.retryAfterNanos(), List.of()));
	}

	void refuseExpired(Waiter waiter, Outcome outcome) {
		refuse(waiter, outcome, ErrorKind.EXPIRED, "the submission has expired");
	}

	void refuseReusedKey(Waiter waiter, Outcome outcome) {
		refuse(waiter, outcome, ErrorKind.KEY_REUSED, "the key was already used with another body or expiry");
	}

	void refuseWithRetryAfter(Waiter waiter, ErrorKind error, String detail) {
		reply(waiter.request(), Answer.refusal(refusalOutcome(waiter), error, detail, retryAfterNanos()));
	}

	private long retryAfterNanos() {
		return RETRY_BASE_NANOS + this.random.nextLong(RETRY_JITTER_NANOS);
	}

	// Returns false if the request is not open, such as after its caller has
	// disconnected.
	boolean reply(long request, Answer answer) {
		this.claimWaits.remove(request);
		boolean open = this.openRequests.close(request);
		if (open) {
			this.effects.add(new SubmissionEffect.Reply(request, answer));
		}
		return open;
	}

	void refuseOverloaded(Waiter waiter, Outcome outcome) {
		reply(waiter.request(), Answer.refusal(outcome, ErrorKind.OVERLOADED,
				"the open submissions of this host exceed its memory limit", retryAfterNanos()));
	}

	void reportBrokenInvariant(String message) {
		this.brokenInvariants++;
		this.effects.add(new SubmissionEffect.InvariantBroken(message));
	}

}
