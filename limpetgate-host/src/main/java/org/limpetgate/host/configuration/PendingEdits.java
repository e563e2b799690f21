package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.config.ConfigurationRecord;
import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.Edit;
import org.limpetgate.config.EditResult;
import org.limpetgate.platform.LogService;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * The edits that wait for their result to be read back from the stream.
 * <p>
 * An append whose answer is lost is repeated; the fold applies an edit id once, so that
 * this is harmless. After {@link #EDIT_WAIT_NANOS} an edit without a result is answered
 * as unknown and not appended again.
 * <p>
 * Belongs to the control thread.
 */
final class PendingEdits {

	/** Time within which an edit is answered. */
	static final long EDIT_WAIT_NANOS = Duration.ofSeconds(5).toNanos();

	/** Time after which an append without an answer is repeated. */
	static final long APPEND_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

	/** First wait after a failed append. */
	static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	/** Longest wait after a failed append. */
	static final long MAX_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();

	/** Most edits that wait at the same time. */
	static final int MAX_PENDING = 256;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final Control control;

	private final LogService service;

	private final ConfigurationTable table;

	private final RandomGenerator random;

	private final Map<String, Pending> pending = new LinkedHashMap<>();

	PendingEdits(Control control, LogService service, ConfigurationTable table, RandomGenerator random) {
		this.control = control;
		this.service = service;
		this.table = table;
		this.random = random;
	}

	/**
	 * Appends an edit and answers when its result is known.
	 * @param edit the edit
	 * @return the result of an accepted edit, or a failure
	 */
	CompletableFuture<EditResult> submit(Edit edit) {
		return submit(edit.editId(), edit, () -> this.table.check(edit));
	}

	/**
	 * Appends a record that replaces the tables.
	 * @param editId the id of the record
	 * @param reset the record
	 * @return the result, or a failure
	 */
	CompletableFuture<EditResult> submit(String editId, ConfigurationSnapshot reset) {
		return submit(editId, reset, () -> {
		});
	}

	private CompletableFuture<EditResult> submit(String editId, ConfigurationRecord record, Runnable check) {
		Optional<EditResult> known = this.table.result(editId);
		if (known.isPresent()) {
			return answer(known.get());
		}
		Pending earlier = this.pending.get(editId);
		if (earlier != null) {
			return earlier.answer;
		}
		if (this.pending.size() >= MAX_PENDING) {
			return CompletableFuture.failedFuture(DispatchException.retryLater(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					this.pending.size() + " edits wait for the log", EDIT_WAIT_NANOS));
		}
		try {
			check.run();
		}
		catch (DispatchException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		Pending added = new Pending(editId, record);
		this.pending.put(editId, added);
		this.control.schedule(EDIT_WAIT_NANOS, () -> giveUp(added));
		append(added);
		return added.answer;
	}

	/** Answers the edits whose results are known by now. */
	void answerKnown() {
		for (Pending edit : List.copyOf(this.pending.values())) {
			this.table.result(edit.editId).ifPresent((result) -> {
				this.pending.remove(result.editId());
				answer(result).whenComplete((value, failure) -> complete(edit, value, failure));
			});
		}
	}

	boolean isPending(String editId) {
		return this.pending.containsKey(editId);
	}

	private static void complete(Pending edit, EditResult value, Throwable failure) {
		if (failure != null) {
			edit.answer.completeExceptionally(failure);
		}
		else {
			edit.answer.complete(value);
		}
	}

	private static CompletableFuture<EditResult> answer(EditResult result) {
		if (result.isAccepted()) {
			return CompletableFuture.completedFuture(result);
		}
		return CompletableFuture
			.failedFuture(DispatchException.of(result.error().orElseThrow(), Outcome.NOT_RUN, result.detail()));
	}

	private void append(Pending edit) {
		int attempt = ++edit.attempts;
		edit.openAttempts++;
		this.control.schedule(APPEND_TIMEOUT_NANOS, () -> appendTimedOut(edit, attempt));
		this.control.whenEnded(
				this.service.append(ConfigurationService.STREAM, List.of(ConfigurationCodec.encode(edit.record))),
				(offset, failure) -> appendEnded(edit, attempt, failure));
	}

	private void appendTimedOut(Pending edit, int attempt) {
		if (attempt == edit.attempts && isRepeatable(edit)) {
			append(edit);
		}
	}

	private void appendEnded(Pending edit, int attempt, Throwable failure) {
		edit.openAttempts--;
		if (failure == null) {
			edit.stored = true;
			return;
		}
		if (!isProvedNotStored(failure)) {
			edit.mayBeStored = true;
		}
		if (attempt == edit.attempts && isRepeatable(edit)) {
			edit.attempts++;
			int next = edit.attempts;
			this.control.schedule(backoff(edit), () -> {
				if (next == edit.attempts && isRepeatable(edit)) {
					append(edit);
				}
			});
		}
	}

	private long backoff(Pending edit) {
		long bound = Math.min(MIN_BACKOFF_NANOS << Math.min(edit.attempts, 10), MAX_BACKOFF_NANOS);
		return MIN_BACKOFF_NANOS + this.random.nextLong(bound);
	}

	private static boolean isProvedNotStored(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		return cause instanceof DispatchException error && error.outcome() == Outcome.NOT_RUN;
	}

	// Each record that replaces the tables takes effect, so it is appended once only.
	private boolean isRepeatable(Pending edit) {
		return !edit.stored && isWaiting(edit) && edit.record instanceof Edit;
	}

	private boolean isWaiting(Pending edit) {
		return this.pending.get(edit.editId) == edit;
	}

	private void giveUp(Pending edit) {
		if (!isWaiting(edit)) {
			return;
		}
		this.pending.remove(edit.editId);
		boolean notStored = !edit.stored && !edit.mayBeStored && edit.openAttempts == 0;
		if (notStored) {
			edit.answer.completeExceptionally(DispatchException.of(ErrorKind.LOG_UNAVAILABLE, Outcome.NOT_RUN,
					"edit '" + edit.editId + "' was not stored"));
			return;
		}
		log.atWarning().log("LG2106 EDIT_UNKNOWN result of edit %s is unknown", edit.editId);
		String state = edit.stored ? "is stored but was not read back within " : "may have been stored within ";
		edit.answer.completeExceptionally(DispatchException.of(ErrorKind.EDIT_UNKNOWN, Outcome.UNKNOWN,
				"edit '" + edit.editId + "' " + state + Duration.ofNanos(EDIT_WAIT_NANOS).toMillis() + " ms"));
	}

	/** An edit that waits for its result. */
	private static final class Pending {

		private final String editId;

		private final ConfigurationRecord record;

		private final CompletableFuture<EditResult> answer = new CompletableFuture<>();

		/** Number of the latest append, which alone may be followed by another. */
		private int attempts;

		/** Appends without an answer, each of which may still be stored. */
		private int openAttempts;

		private boolean stored;

		private boolean mayBeStored;

		Pending(String editId, ConfigurationRecord record) {
			this.editId = editId;
			this.record = record;
		}

	}

}
