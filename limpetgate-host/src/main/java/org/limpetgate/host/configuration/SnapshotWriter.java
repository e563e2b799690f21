package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.HostId;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.host.configuration.LogTail.LatestSnapshot;
import org.limpetgate.host.configuration.PeerConfigurations.PeerVersion;
import org.limpetgate.platform.LogService;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * Writes snapshots to the configuration stream well before the records that they cover
 * are trimmed.
 * <p>
 * Each host computes its rank among the reachable hosts by rendezvous hashing. The host
 * with rank 0 writes as soon as a snapshot is due. Each following one waits
 * {@link #RANK_DELAY_NANOS} longer and writes only if it has not read a snapshot by then.
 * The ranking only saves work: duplicate snapshots are harmless.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class SnapshotWriter {

	/** Interval between checks of whether a snapshot is due. */
	static final long CHECK_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Additional delay per rank: enough to append a snapshot and to read it back.
	 */
	static final long RANK_DELAY_NANOS = Duration.ofSeconds(3).toNanos();

	/** Highest rank. Hosts beyond it wait as long as a host of this rank. */
	static final int MAX_RANK = 60;

	/**
	 * Number of records after a snapshot at which the next one is due. It bounds the
	 * number of records that a starting host reads.
	 */
	static final long MAX_RECORDS_SINCE_SNAPSHOT = 2000;

	private static final long NEVER = Long.MIN_VALUE;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final ControlExecutor control;

	private final HostId self;

	private final LogService logService;

	private final ConfigurationTable table;

	private final LogTail tail;

	private final PeerConfigurations peers;

	private final long intervalNanos;

	private long dueSinceNanos = NEVER;

	private long lastWriteNanos = NEVER;

	SnapshotWriter(ControlExecutor control, HostId self, LogService logService, ConfigurationTable table, LogTail tail,
			PeerConfigurations peers, long intervalNanos) {
		this.control = control;
		this.self = self;
		this.logService = logService;
		this.table = table;
		this.tail = tail;
		this.peers = peers;
		this.intervalNanos = intervalNanos;
	}

	void writeIfDue() {
		if (!this.tail.isCaughtUp() || !isDue()) {
			this.dueSinceNanos = NEVER;
			return;
		}
		long now = this.control.nowNanos();
		if (this.dueSinceNanos == NEVER) {
			this.dueSinceNanos = now;
		}
		boolean awaitingReadBack = this.lastWriteNanos != NEVER && now - this.lastWriteNanos < RANK_DELAY_NANOS;
		if (!awaitingReadBack && now - this.dueSinceNanos >= rank() * RANK_DELAY_NANOS) {
			this.lastWriteNanos = now;
			write();
		}
	}

	private boolean isDue() {
		if (this.table.version() == ConfigurationTable.NO_VERSION) {
			return false;
		}
		LatestSnapshot latest = this.tail.latestSnapshot();
		long firstRetained = this.tail.firstRetainedOffset();
		long nextOffset = this.table.nextOffset();
		boolean usable = latest.offset() >= firstRetained && latest.version() + 1 >= firstRetained;
		if (!usable && firstRetained > 0) {
			return true;
		}
		long sinceNanos = usable ? latest.timeNanos() : this.tail.firstRecordTimeNanos();
		boolean intervalElapsed = sinceNanos != NEVER && this.control.nowNanos() - sinceNanos >= this.intervalNanos;
		boolean nearTrimming = firstRetained > 0
				&& latest.version() + 1 - firstRetained < (nextOffset - firstRetained) / 2;
		return intervalElapsed || nearTrimming
				|| nextOffset - 1 - Math.max(latest.offset(), 0) >= MAX_RECORDS_SINCE_SNAPSHOT;
	}

	private int rank() {
		long ownWeight = weight(this.self);
		long higher = this.peers.versions()
			.stream()
			.map(PeerVersion::host)
			.filter((host) -> !host.equals(this.self) && weight(host) > ownWeight)
			.count();
		return (int) Math.min(higher, MAX_RANK);
	}

	// The offset of the latest snapshot is part of the hashed key, so that the snapshots
	// are written by different hosts in turn.
	private long weight(HostId host) {
		long hash = host.value().hashCode() * 0x9E3779B97F4A7C15L + this.tail.latestSnapshot().offset();
		hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
		hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
		return hash ^ (hash >>> 31);
	}

	private void write() {
		byte[] payload = ConfigurationCodec.encode(this.table.toSnapshot());
		long version = this.table.version();
		this.control.whenComplete(this.logService.append(ConfigurationService.STREAM, List.of(payload)),
				(offset, failure) -> writeCompleted(version, payload.length, failure));
	}

	private void writeCompleted(long version, int bytes, Throwable failure) {
		if (failure != null) {
			log.atWarning()
				.log("LG2104 SNAPSHOT_UNCONFIRMED snapshot of version %d was not confirmed: %s; it is written again unless a snapshot is read",
						version, failure.getMessage());
		}
		else {
			log.atInfo().log("LG2105 SNAPSHOT_WRITTEN wrote a snapshot of version %d with %d bytes", version, bytes);
		}
	}

}
