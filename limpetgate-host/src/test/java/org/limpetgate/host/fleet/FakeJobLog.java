package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.fleet.JobLog;

/**
 * An in-memory log whose calls are answered one by one by the test. Not thread-safe.
 */
final class FakeJobLog implements JobLog {

	final Map<String, byte[]> records = new HashMap<>();

	/** The unanswered calls, oldest first. */
	final List<Call> calls = new ArrayList<>();

	long epoch;

	/** The sequence number of the next append in the current epoch. */
	long nextSequence;

	/** The number of appends that were applied. */
	int appendCount;

	@Override
	public CompletableFuture<Void> fence(long writerEpoch) {
		Call call = new Call(() -> {
			if (writerEpoch < this.epoch) {
				throw new FencedException(writerEpoch);
			}
			if (writerEpoch > this.epoch) {
				this.nextSequence = 0;
			}
			this.epoch = writerEpoch;
		});
		this.calls.add(call);
		return call.future;
	}

	@Override
	public CompletableFuture<Map<String, byte[]>> readNewest() {
		Call call = new Call(() -> {
			// Reading has no effect on the log.
		});
		this.calls.add(call);
		return call.future.thenApply((done) -> Map.copyOf(this.records));
	}

	@Override
	public CompletableFuture<Void> append(long writerEpoch, long sequence, List<Entry> entries) {
		Call call = new Call(() -> apply(writerEpoch, sequence, entries));
		this.calls.add(call);
		return call.future;
	}

	private void apply(long writerEpoch, long sequence, List<Entry> entries) {
		if (writerEpoch < this.epoch) {
			throw new FencedException(writerEpoch);
		}
		if (sequence == this.nextSequence - 1) {
			return;
		}
		if (sequence != this.nextSequence) {
			throw new SequenceException(this.nextSequence);
		}
		this.nextSequence++;
		this.appendCount++;
		for (Entry entry : entries) {
			if (entry.value().length == 0) {
				this.records.remove(entry.key());
			}
			else {
				this.records.put(entry.key(), entry.value());
			}
		}
	}

	// Executes the oldest call and answers it.
	void answerNext() {
		Call call = this.calls.remove(0);
		try {
			call.action.run();
			call.future.complete(null);
		}
		catch (RuntimeException ex) {
			call.future.completeExceptionally(ex);
		}
	}

	// Executes the oldest call, but fails it as if its answer had been lost.
	void loseNextAnswer() {
		Call call = this.calls.remove(0);
		call.action.run();
		call.future.completeExceptionally(new IllegalStateException("no answer"));
	}

	// Fails the oldest call without executing it.
	void failNext() {
		failNext(new IllegalStateException("the log is unavailable"));
	}

	void failNext(RuntimeException failure) {
		this.calls.remove(0).future.completeExceptionally(failure);
	}

	void answerAll() {
		while (!this.calls.isEmpty()) {
			answerNext();
		}
	}

	static final class Call {

		private final Runnable action;

		private final CompletableFuture<Void> future = new CompletableFuture<>();

		Call(Runnable action) {
			this.action = action;
		}

	}

}
