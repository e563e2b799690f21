package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.platform.LogService;

/**
 * A log in virtual time with injected faults. Each host has its own access to it.
 */
public final class FakeLog {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	/** All records, including trimmed ones. */
	public final List<LogRecord> records = new ArrayList<>();

	private final VirtualTime time;

	private final RandomGenerator random;

	private int firstRetained;

	public FakeLog(VirtualTime time, RandomGenerator random) {
		this.time = time;
		this.random = random;
	}

	long store(byte[] payload) {
		this.records.add(new LogRecord(this.records.size(), this.time.nowNanos(), payload));
		return this.records.size() - 1;
	}

	int firstRetained() {
		return this.firstRetained;
	}

	void trimTo(int offset) {
		this.firstRetained = Math.max(this.firstRetained, offset);
	}

	void trimOlderThan(Duration retention) {
		while (this.firstRetained < this.records.size() && this.records.get(this.firstRetained)
			.appendTimeNanos() < this.time.nowNanos() - retention.toNanos()) {
			this.firstRetained++;
		}
	}

	static DispatchException unavailable() {
		return DispatchException.of(ErrorKind.LOG_UNAVAILABLE, Outcome.UNKNOWN, "the log did not answer");
	}

	/** The access of one host, with the rates of its faults in percent. */
	public final class Access implements LogService {

		public boolean outage;

		/** Appends that fail; the records of half of them are stored nevertheless. */
		int lostAppendPercent;

		int failedReadPercent;

		int unansweredPercent;

		int maxDelayMillis = 5;

		@Override
		public CompletableFuture<Long> append(String stream, List<byte[]> payloads) {
			CompletableFuture<Long> answer = new CompletableFuture<>();
			scheduleDelayed(() -> append(payloads, answer));
			return answer;
		}

		private void append(List<byte[]> payloads, CompletableFuture<Long> answer) {
			boolean lost = isFault(this.lostAppendPercent);
			boolean stored = !this.outage && (!lost || FakeLog.this.random.nextBoolean());
			long first = FakeLog.this.records.size();
			if (stored) {
				payloads.forEach(FakeLog.this::store);
			}
			if (this.outage || lost) {
				if (!isFault(this.unansweredPercent)) {
					scheduleDelayed(() -> answer.completeExceptionally(unavailable()));
				}
				return;
			}
			scheduleDelayed(() -> answer.complete(first));
		}

		@Override
		public CompletableFuture<LogBatch> read(String stream, long from, int maxRecords, Duration maxWait) {
			CompletableFuture<LogBatch> answer = new CompletableFuture<>();
			long end = FakeLog.this.time.nowNanos() + maxWait.toNanos();
			scheduleDelayed(() -> poll(from, maxRecords, end, answer));
			return answer;
		}

		private void poll(long from, int maxRecords, long end, CompletableFuture<LogBatch> answer) {
			if (this.outage || isFault(this.failedReadPercent)) {
				if (!isFault(this.unansweredPercent)) {
					answer.completeExceptionally(unavailable());
				}
				return;
			}
			int size = FakeLog.this.records.size();
			int first = (int) Math.max(from, FakeLog.this.firstRetained);
			if (first < size || FakeLog.this.firstRetained > from || FakeLog.this.time.nowNanos() >= end) {
				List<LogRecord> available = (first < size)
						? FakeLog.this.records.subList(first, Math.min(size, first + maxRecords)) : List.of();
				LogBatch batch = new LogBatch(available, FakeLog.this.firstRetained, size);
				scheduleDelayed(() -> answer.complete(batch));
				return;
			}
			FakeLog.this.time.schedule(POLL_INTERVAL.toNanos(), () -> poll(from, maxRecords, end, answer));
		}

		private boolean isFault(int percent) {
			return FakeLog.this.random.nextInt(100) < percent;
		}

		private void scheduleDelayed(Runnable task) {
			FakeLog.this.time.schedule(Duration.ofMillis(FakeLog.this.random.nextInt(this.maxDelayMillis)).toNanos(),
					task);
		}

	}

}
