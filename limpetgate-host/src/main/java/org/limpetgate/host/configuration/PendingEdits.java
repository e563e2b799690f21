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
	static final long EDIT_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

	/** Time after which an append without an answer is repeated. */
	static final long APPEND_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

	/** First wait after a failed append. */
	static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	/** Longest wait after a failed append. */
	static final long MAX_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();

	/** Most edits that wait at the same time. */
	static final int MAX_PENDING = 256;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final ControlExecutor control;

	private final LogService logService;

	private final ConfigurationTable table;

	private final RandomGenerator random;

	private final Map<String, PendingEdit> pending = new LinkedHashMap<>();

	PendingEdits(ControlExecutor control, LogService logService, ConfigurationTable table, RandomGenerator random) {
		this.control = control;
		this.logService = logService;
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
		Optional<EditResult> knownResult = this.table.result(editId);
		if (knownResult.isPresent()) {
			return answer(knownResult.get());
		}
		PendingEdit existing = this.pending.get(editId);
		if (existing != null) {
			return existing.answer;
		}
		if (this.pending.size() >= MAX_PENDING) {
			return CompletableFuture.failedFuture(DispatchException.retryLater(ErrorKind.OVERLOADED, Outcome.NOT_RUN,
					this.pending.size() + " edits wait for the log", EDIT_TIMEOUT_NANOS));
		}
		try {
			check.run();
		}
		catch (DispatchException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		PendingEdit added = new PendingEdit(editId, record);
		this.pending.put(editId, added);
		this.control.schedule(EDIT_TIMEOUT_NANOS, () -> editTimedOut(added));
		append(added);
		return added.answer;
	}

	/** Answers the edits whose results are known by now. */
	void completeKnown() {
		for (PendingEdit edit : List.copyOf(this.pending.values())) {
			this.table.result(edit.editId).ifPresent((result) -> {
				this.pending.remove(result.editId());
				answer(result).whenComplete((value, failure) -> complete(edit, value, failure));
			});
		}
	}

	boolean isPending(String editId) {
		return this.pending.containsKey(editId);
	}

	private static void complete(PendingEdit edit, EditResult value, Throwable failure) {
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

	private void append(PendingEdit edit) {
		int attempt = ++edit.latestAttempt;
		edit.unansweredAttempts++;
		this.control.schedule(APPEND_TIMEOUT_NANOS, () -> appendTimedOut(edit, attempt));
		this.control.whenComplete(
				this.logService.append(ConfigurationService.STREAM, List.of(ConfigurationCodec.encode(edit.record))),
				(offset, failure) -> appendCompleted(edit, attempt, failure));
	}

	private void appendTimedOut(PendingEdit edit, int attempt) {
		if (attempt == edit.latestAttempt && isRetryable(edit)) {
			append(edit);
		}
	}

	private void appendCompleted(PendingEdit edit, int attempt, Throwable failure) {
		edit.unansweredAttempts--;
		if (failure == null) {
			edit.stored = true;
			return;
		}
		if (!isProvablyNotStored(failure)) {
			edit.mayBeStored = true;
		}
		if (attempt == edit.latestAttempt && isRetryable(edit)) {
			edit.latestAttempt++;
			int next = edit.latestAttempt;
			this.control.schedule(backoff(edit), () -> {
				if (next == edit.latestAttempt && isRetryable(edit)) {
					append(edit);
				}
			});
		}
	}

	private long backoff(PendingEdit edit) {
		long bound = Math.min(MIN_BACKOFF_NANOS << Math.min(edit.latestAttempt, 10), MAX_BACKOFF_NANOS);
		return MIN_BACKOFF_NANOS + this.random.nextLong(bound);
	}

	private static boolean isProvablyNotStored(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		return cause instanceof DispatchException error && error.outcome() == Outcome.NOT_RUN;
	}

	// Each record that replaces the tables takes effect, so it is appended once only.
	private boolean isRetryable(PendingEdit edit) {
		return !edit.stored && isWaiting(edit) && edit.record instanceof Edit;
	}

	private boolean isWaiting(PendingEdit edit) {
		return this.pending.get(edit.editId) == edit;
	}

	private void editTimedOut(PendingEdit edit) {
		if (!isWaiting(edit)) {
			return;
		}
		this.pending.remove(edit.editId);
		boolean notStored = !edit.stored && !edit.mayBeStored && edit.unansweredAttempts == 0;
		if (notStored) {
			edit.answer.completeExceptionally(DispatchException.of(ErrorKind.LOG_UNAVAILABLE, Outcome.NOT_RUN,
					"edit '" + edit.editId + "' was not stored"));
			return;
		}
		log.atWarning().log("LG2106 EDIT_UNKNOWN result of edit %s is unknown", edit.editId);
		String state = edit.stored ? "is stored but was not read back within " : "may have been stored within ";
		edit.answer.completeExceptionally(DispatchException.of(ErrorKind.EDIT_UNKNOWN, Outcome.UNKNOWN,
				"edit '" + edit.editId + "' " + state + Duration.ofNanos(EDIT_TIMEOUT_NANOS).toMillis() + " ms"));
	}

	/** An edit that waits for its result. */
	private static final class PendingEdit {

		private final String editId;

		private final ConfigurationRecord record;

		private final CompletableFuture<EditResult> answer = new CompletableFuture<>();

		/** Number of the latest append, which alone may be followed by another. */
		private int latestAttempt;

		/** Appends without an answer, each of which may still be stored. */
		private int unansweredAttempts;

		private boolean stored;

		private boolean mayBeStored;

		PendingEdit(String editId, ConfigurationRecord record) {
			this.editId = editId;
			this.record = record;
		}

	}

}
