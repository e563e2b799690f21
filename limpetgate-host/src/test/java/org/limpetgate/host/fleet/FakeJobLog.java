package org.limpetgate.host.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.fleet.JobLog;

/**
 * A log in memory whose calls are answered by hand. Not thread-safe.
 */
final class FakeJobLog implements JobLog {

	final Map<String, byte[]> records = new HashMap<>();

	/** Calls that were not answered yet, in their order. */
	final List<Call> calls = new ArrayList<>();

	long epoch;

	/** The number of the next append in the present epoch. */
	long next;

	/** How many appends were kept. */
	int appends;

	@Override
	public CompletableFuture<Void> fence(long writerEpoch) {
		Call call = new Call(() -> {
			if (writerEpoch < this.epoch) {
				throw new FencedException(writerEpoch);
			}
			if (writerEpoch > this.epoch) {
				this.next = 0;
			}
			this.epoch = writerEpoch;
		});
		this.calls.add(call);
		return call.answer;
	}

	@Override
	public CompletableFuture<Map<String, byte[]>> newest() {
		Call call = new Call(() -> {
			// Reading changes nothing.
		});
		this.calls.add(call);
		return call.answer.thenApply((done) -> Map.copyOf(this.records));
	}

	@Override
	public CompletableFuture<Void> append(long writerEpoch, long sequence, List<Entry> entries) {
		Call call = new Call(() -> keep(writerEpoch, sequence, entries));
		this.calls.add(call);
		return call.answer;
	}

	private void keep(long writerEpoch, long sequence, List<Entry> entries) {
		if (writerEpoch < this.epoch) {
			throw new FencedException(writerEpoch);
		}
		if (sequence == this.next - 1) {
			return;
		}
		if (sequence != this.next) {
			throw new SequenceException(this.next);
		}
		this.next++;
		this.appends++;
		for (Entry entry : entries) {
			if (entry.value().length == 0) {
				this.records.remove(entry.key());
			}
			else {
				this.records.put(entry.key(), entry.value());
			}
		}
	}

	// Carries out and answers the oldest call.
	void answer() {
		Call call = this.calls.remove(0);
		try {
			call.action.run();
			call.answer.complete(null);
		}
		catch (RuntimeException ex) {
			call.answer.completeExceptionally(ex);
		}
	}

	// Carries out the oldest call and loses its answer.
	void loseAnswer() {
		Call call = this.calls.remove(0);
		call.action.run();
		call.answer.completeExceptionally(new IllegalStateException("no answer"));
	}

	// Does not carry out the oldest call.
	void fail() {
		this.calls.remove(0).answer.completeExceptionally(new IllegalStateException("the log is away"));
	}

	void answerAll() {
		while (!this.calls.isEmpty()) {
			answer();
		}
	}

	static final class Call {

		private final Runnable action;

		private final CompletableFuture<Void> answer = new CompletableFuture<>();

		Call(Runnable action) {
			this.action = action;
		}

	}

}
