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
 * Handles the log requests of a {@link PlatformStandIn}.
 * <p>
 * Not thread-safe: confined to the event loop of the stand-in.
 */
final class LogEndpoint {

	private static final long MAX_WAIT_MILLIS = 60_000;

	private static final int MAX_READ_RECORDS = 100_000;

	private static final int MAX_PENDING_READS = 10_000;

	private final EventExecutor loop;

	private final LongSupplier clock;

	private final LogLimits limits;

	private final LogStore store;

	private final List<PendingRead> pendingReads = new ArrayList<>();

	private PlatformFaults faults = PlatformFaults.NONE;

	private int responsesToDrop;

	LogEndpoint(EventExecutor loop, LongSupplier clock, LogLimits limits) {
		this.loop = loop;
		this.clock = clock;
		this.limits = limits;
		this.store = new LogStore(limits);
	}

	void setFaults(PlatformFaults faults) {
		this.faults = faults;
		this.responsesToDrop = faults.lostAppendAnswers();
		this.store.freeze(faults.staleReads());
		completeReads();
	}

	void trim(String stream, long beforeOffset) {
		this.store.trim(stream, beforeOffset);
		completeReads();
	}

	CompletableFuture<StandInResponse> handle(HttpCall call, Query query) {
		if (this.faults.logHangs()) {
			return CompletableFuture.completedFuture(StandInResponse.noResponse());
		}
		if (this.faults.logDown()) {
			return CompletableFuture.completedFuture(StandInResponse.withoutOutcome(503));
		}
		String stream = query.segment(2);
		return switch (call.method()) {
			case "POST" -> append(stream, LogCodec.decodePayloads(call.body()));
			case "GET" -> read(stream, query);
			default -> throw new IllegalArgumentException("use POST to append and GET to read");
		};
	}

	private CompletableFuture<StandInResponse> append(String stream, List<byte[]> payloads) {
		if (payloads.isEmpty()) {
			throw new IllegalArgumentException("append at least one record");
		}
		long wait = this.store.acquire(this.clock.getAsLong());
		if (wait > 0) {
			long waitMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(wait));
			return CompletableFuture.completedFuture(StandInResponse.error(429, Outcome.NOT_RUN,
					"more than " + this.limits.appendsPerSecond() + " appends a second", waitMillis));
		}
		CompletableFuture<StandInResponse> response = new CompletableFuture<>();
		this.loop.schedule(() -> store(stream, payloads, response), this.limits.syncDelay().toNanos(),
				TimeUnit.NANOSECONDS);
		return response;
	}

	private void store(String stream, List<byte[]> payloads, CompletableFuture<StandInResponse> response) {
		long offset;
		try {
			offset = this.store.append(stream, payloads, this.clock.getAsLong());
		}
		catch (IllegalArgumentException ex) {
			response.complete(StandInResponse.badRequest(ex.getMessage()));
			return;
		}
		completeReads();
		if (this.responsesToDrop > 0) {
			this.responsesToDrop--;
			response.complete(StandInResponse.closeConnection());
			return;
		}
		complete(response, StandInResponse.json(200, Map.of("offset", offset)));
	}

	private CompletableFuture<StandInResponse> read(String stream, Query query) {
		CompletableFuture<StandInResponse> response = new CompletableFuture<>();
		PendingRead read = new PendingRead(stream, query.number("from", 0, Long.MAX_VALUE),
				(int) query.number("max", 1, MAX_READ_RECORDS), response);
		long waitMillis = query.number("waitMillis", 0, MAX_WAIT_MILLIS);
		LogBatch batch = readBatch(read);
		if (read.isSatisfiedBy(batch) || waitMillis == 0 || this.pendingReads.size() >= MAX_PENDING_READS) {
			complete(response, toResponse(batch));
			return response;
		}
		this.pendingReads.add(read);
		ScheduledFuture<?> timer = this.loop.schedule(() -> {
			this.pendingReads.remove(read);
			complete(response, toResponse(readBatch(read)));
		}, waitMillis, TimeUnit.MILLISECONDS);
		response.whenComplete((done, error) -> timer.cancel(false));
		return response;
	}

	private void completeReads() {
		Iterator<PendingRead> reads = this.pendingReads.iterator();
		while (reads.hasNext()) {
			PendingRead read = reads.next();
			if (this.faults.logDown()) {
				reads.remove();
				read.response.complete(StandInResponse.withoutOutcome(503));
				continue;
			}
			LogBatch batch = readBatch(read);
			if (read.isSatisfiedBy(batch)) {
				reads.remove();
				complete(read.response, toResponse(batch));
			}
		}
	}

	private LogBatch readBatch(PendingRead read) {
		return this.store.read(read.stream, read.from, read.max, this.clock.getAsLong());
	}

	private StandInResponse toResponse(LogBatch batch) {
		StandInResponse response = StandInResponse.binary(LogCodec.encodeBatch(batch));
		return this.faults.truncatedReads() ? response.truncated() : response;
	}

	private void complete(CompletableFuture<StandInResponse> future, StandInResponse response) {
		if (this.faults.logDelayMillis() == 0) {
			future.complete(response);
			return;
		}
		this.loop.schedule(() -> future.complete(response), this.faults.logDelayMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * A long-poll read that waits for a record.
	 *
	 * @param stream the stream
	 * @param from the first offset to read
	 * @param max the maximum number of records
	 * @param response the response
	 */
	private record PendingRead(String stream, long from, int max, CompletableFuture<StandInResponse> response) {

		// A gap left by trimming completes the read too: a reader that waited for a
		// record would detect the gap too late.
		private boolean isSatisfiedBy(LogBatch batch) {
			return !batch.records().isEmpty() || this.from < batch.firstRetainedOffset();
		}

	}

}
