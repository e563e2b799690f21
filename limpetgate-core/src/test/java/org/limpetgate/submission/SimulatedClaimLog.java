package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.List;

/**
 * The claims stream of a data centre in a {@link SubmissionSimulation}.
 * <p>
 * Its clock differs from that of the simulation. Records are removed after the retention
 * time, or earlier by a fault. Not thread-safe.
 */
final class SimulatedClaimLog {

	private static final long MS = SimulationLoop.MS;

	private static final long SECOND = SimulationLoop.SECOND;

	private final List<ClaimRecord> records = new ArrayList<>();

	private final List<Runnable> readers = new ArrayList<>();

	private final SimulationLoop loop;

	private final long retentionNanos;

	private final long skewNanos;

	private long firstOffset;

	private long downUntil;

	private long slowUntil;

	SimulatedClaimLog(SimulationLoop loop, long retentionNanos) {
		this.loop = loop;
		this.retentionNanos = retentionNanos;
		this.skewNanos = loop.randomBetween(-SECOND, SECOND);
	}

	long firstOffset() {
		return this.firstOffset;
	}

	long endOffset() {
		return this.firstOffset + this.records.size();
	}

	boolean isDown() {
		return this.downUntil > this.loop.now();
	}

	long latencyNanos() {
		boolean slow = this.slowUntil > this.loop.now();
		return slow ? this.loop.randomBetween(50 * MS, 4 * SECOND) : this.loop.randomBetween(2 * MS, 8 * MS);
	}

	List<ClaimRecord> readFrom(long offset) {
		int start = (int) Math.max(0, Math.min(offset, endOffset()) - this.firstOffset);
		return List.copyOf(this.records.subList(start, Math.min(this.records.size(), start + 20)));
	}

	void addReader(Runnable reader) {
		this.readers.add(reader);
	}

	void failUntil(long nanos) {
		this.downUntil = nanos;
	}

	void slowDownUntil(long nanos) {
		this.slowUntil = nanos;
	}

	void store(List<Claim> claims) {
		this.records.add(new ClaimRecord(endOffset(), this.loop.now() + this.skewNanos, claims));
		List<Runnable> waiting = List.copyOf(this.readers);
		this.readers.clear();
		waiting.forEach(Runnable::run);
	}

	void trim(long offset) {
		while (this.firstOffset < offset && !this.records.isEmpty()) {
			this.records.remove(0);
			this.firstOffset++;
		}
	}

	void applyRetention() {
		while (!this.records.isEmpty()
				&& this.records.get(0).appendTimeNanos() + this.retentionNanos - this.skewNanos < this.loop.now()) {
			trim(this.firstOffset + 1);
		}
	}

}
