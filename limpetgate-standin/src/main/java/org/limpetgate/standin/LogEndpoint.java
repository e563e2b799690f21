package org.limpetgate.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import org.limpetgate.Outcome;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.platform.LogCodec;
import org.limpetgate.platform.LogBatch;

/**
 * The log requests of a {@link PlatformStandIn}.
 * <p>
 * Not thread-safe: belongs to the event loop of the stand-in.
 */
final class LogEndpoint {

	private static final long MAX_WAIT_MILLIS = 60_000;

	private static final int MAX_READ_RECORDS = 100_000;

	private static final int MAX_WAITING = 10_000;

	private final EventExecutor loop;

	private final LongSupplier clock;

	private final LogLimits limits;

	private final LogStore store;

	private final List<WaitingRead> waiting = new ArrayList<>();

	private PlatformFaults faults = PlatformFaults.NONE;

	private int answersToLose;

	LogEndpoint(EventExecutor loop, LongSupplier clock, LogLimits limits) {
		this.loop = loop;
		this.clock = clock;
		this.limits = limits;
		this.store = new LogStore(limits);
	}

	void setFaults(PlatformFaults faults) {
		this.faults = faults;
		this.answersToLose = faults.lostAppendAnswers();
		this.store.freeze(faults.staleReads());
		wakeReads();
	}

	void trim(String stream, long beforeOffset) {
		this.store.trim(stream, beforeOffset);
		wakeReads();
	}

	CompletableFuture<StandInAnswer> handle(HttpCall call, Query query) {
		if (this.faults.logHangs()) {
			return CompletableFuture.completedFuture(StandInAnswer.never());
		}
		if (this.faults.logDown()) {
			return CompletableFuture.completedFuture(StandInAnswer.bare(503));
		}
		String stream = query.segment(2);
		return switch (call.method()) {
			case "POST" -> append(stream, LogCodec.decodePayloads(call.body()));
			case "GET" -> read(stream, query);
			default -> throw new IllegalArgumentException("use POST to append and GET to read");
		};
	}

	private CompletableFuture<StandInAnswer> append(String stream, List<byte[]> payloads) {
		if (payloads.isEmpty()) {
			throw new IllegalArgumentException("append at least one record");
		}
		long wait = this.store.acquire(this.clock.getAsLong());
		if (wait > 0) {
			long waitMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(wait));
			return CompletableFuture.completedFuture(StandInAnswer.error(429, Outcome.NOT_RUN,
					"more than " + this.limits.appendsPerSecond() + " appends a second", waitMillis));
		}
		CompletableFuture<StandInAnswer> answer = new CompletableFuture<>();
		this.loop.schedule(() -> store(stream, payloads, answer), this.limits.syncDelay().toNanos(),
				TimeUnit.NANOSECONDS);
		return answer;
	}

	private void store(String stream, List<byte[]> payloads, CompletableFuture<StandInAnswer> answer) {
		long offset;
		try {
			offset = this.store.append(stream, payloads, this.clock.getAsLong());
		}
		catch (IllegalArgumentException ex) {
			answer.complete(StandInAnswer.badRequest(ex.getMessage()));
			return;
		}
		wakeReads();
		if (this.answersToLose > 0) {
			this.answersToLose--;
			answer.complete(StandInAnswer.closed());
			return;
		}
		complete(answer, StandInAnswer.json(200, Map.of("offset", offset)));
	}

	private CompletableFuture<StandInAnswer> read(String stream, Query query) {
		CompletableFuture<StandInAnswer> answer = new CompletableFuture<>();
		WaitingRead read = new WaitingRead(stream, query.number("from", 0, Long.MAX_VALUE),
				(int) query.number("max", 1, MAX_READ_RECORDS), answer);
		long waitMillis = query.number("waitMillis", 0, MAX_WAIT_MILLIS);
		LogBatch batch = batch(read);
		if (read.isAnsweredBy(batch) || waitMillis == 0 || this.waiting.size() >= MAX_WAITING) {
			complete(answer, toAnswer(batch));
			return answer;
		}
		this.waiting.add(read);
		ScheduledFuture<?> timer = this.loop.schedule(() -> {
			this.waiting.remove(read);
			complete(answer, toAnswer(batch(read)));
		}, waitMillis, TimeUnit.MILLISECONDS);
		answer.whenComplete((done, error) -> timer.cancel(false));
		return answer;
	}

	private void wakeReads() {
		Iterator<WaitingRead> reads = this.waiting.iterator();
		while (reads.hasNext()) {
			WaitingRead read = reads.next();
			if (this.faults.logDown()) {
				reads.remove();
				read.answer.complete(StandInAnswer.bare(503));
				continue;
			}
			LogBatch batch = batch(read);
			if (read.isAnsweredBy(batch)) {
				reads.remove();
				complete(read.answer, toAnswer(batch));
			}
		}
	}

	private LogBatch batch(WaitingRead read) {
		return this.store.read(read.stream, read.from, read.max, this.clock.getAsLong());
	}

	private StandInAnswer toAnswer(LogBatch batch) {
		StandInAnswer answer = StandInAnswer.binary(LogCodec.encodeBatch(batch));
		return this.faults.truncatedReads() ? answer.truncated() : answer;
	}

	private void complete(CompletableFuture<StandInAnswer> future, StandInAnswer answer) {
		if (this.faults.logDelayMillis() == 0) {
			future.complete(answer);
			return;
		}
		this.loop.schedule(() -> future.complete(answer), this.faults.logDelayMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * A read that waits for a record.
	 *
	 * @param stream the stream
	 * @param from the first offset wanted
	 * @param max the most records
	 * @param answer the answer
	 */
	private record WaitingRead(String stream, long from, int max, CompletableFuture<StandInAnswer> answer) {

		// A trimmed gap is an answer too: a reader that waited for a record would learn
		// of the gap too late.
		private boolean isAnsweredBy(LogBatch batch) {
			return !batch.records().isEmpty() || this.from < batch.firstRetainedOffset();
		}

	}

}
