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
 * The edits whose results have not been read back from the stream yet.
 * <p>
 * An append whose answer is lost is retried. This is harmless, since the table applies
 * each edit id only once. After {@link #EDIT_TIMEOUT_NANOS} an edit without a result is
 * reported as unknown and not appended again.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class PendingEdits {

	/** Longest time until an edit is answered. */
	static final long EDIT_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

	/** Time after which an unanswered append is retried. */
	static final long APPEND_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

	/** Shortest delay before a failed append is retried. */
	static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();

	/** Bound of the random time that is added to {@link #MIN_BACKOFF_NANOS}. */
	static final long MAX_BACKOFF_NANOS = Duration.ofMillis(800).toNanos();

	/** Maximum number of pending edits. */
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
	 * Appends an edit and completes when its result is known.
	 * @param edit the edit
	 * @return a future of the result of an accepted edit; it fails for any other edit
	 */
	CompletableFuture<EditResult> submit(Edit edit) {
		return submit(edit.editId(), edit, () -> this.table.check(edit));
	}

	/**
	 * Appends a record that replaces the tables.
	 * @param editId the id of the record
	 * @param reset the record
	 * @return a future of the result
	 */
	CompletableFuture<EditResult> submit(String editId, ConfigurationSnapshot reset) {
		return submit(editId, reset, () -> {
		});
	}

	private CompletableFuture<EditResult> submit(String editId, ConfigurationRecord record, Runnable check) {
		Optional<EditResult> knownResult = this.table.result(editId);
		if (knownResult.isPresent()) {
			return toFuture(knownResult.get());
		}
		PendingEdit existing = this.pending.get(editId);
		if (existing != null) {
			return existing.resultFuture;
		}
		if (this.pending.size() >= MAX_PENDING) {
			return CompletableFuture.failedFuture(DispatchException.withRetryAfter(ErrorKind.OVERLOADED,
					Outcome.NOT_RUN, this.pending.size() + " edits are pending", EDIT_TIMEOUT_NANOS));
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
		return added.resultFuture;
	}

	/** Completes the edits whose results have become known. */
	void completeKnown() {
		for (PendingEdit edit : List.copyOf(this.pending.values())) {
			this.table.result(edit.editId).ifPresent((result) -> {
				this.pending.remove(result.editId());
				toFuture(result).whenComplete((value, failure) -> complete(edit, value, failure));
			});
		}
	}

	boolean isPending(String editId) {
		return this.pending.containsKey(editId);
	}

	private static void complete(PendingEdit edit, EditResult value, Throwable failure) {
		if (failure != null) {
			edit.resultFuture.completeExceptionally(failure);
		}
		else {
			edit.resultFuture.complete(value);
		}
	}

	private static CompletableFuture<EditResult> toFuture(EditResult result) {
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

	// Each stored copy of a record that replaces the tables takes effect, so it is
	// appended only once.
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
			edit.resultFuture.completeExceptionally(DispatchException.of(ErrorKind.LOG_UNAVAILABLE, Outcome.NOT_RUN,
					"edit '" + edit.editId + "' was not stored"));
			return;
		}
		log.atWarning().log("LG2106 EDIT_UNKNOWN result of edit %s is unknown", edit.editId);
		String state = edit.stored ? "is stored but was not read back within " : "may have been stored within ";
		edit.resultFuture.completeExceptionally(DispatchException.of(ErrorKind.EDIT_UNKNOWN, Outcome.UNKNOWN,
				"edit '" + edit.editId + "' " + state + Duration.ofNanos(EDIT_TIMEOUT_NANOS).toMillis() + " ms"));
	}

	/** An edit whose result is not known yet. */
	private static final class PendingEdit {

		private final String editId;

		private final ConfigurationRecord record;

		private final CompletableFuture<EditResult> resultFuture = new CompletableFuture<>();

		/** Number of the latest append, the only one that may be retried. */
		private int latestAttempt;

		/** Number of appends without an answer, each of which may still be stored. */
		private int unansweredAttempts;

		private boolean stored;

		private boolean mayBeStored;

		PendingEdit(String editId, ConfigurationRecord record) {
			this.editId = editId;
			this.record = record;
		}

	}

}
