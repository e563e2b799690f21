package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import org.limpetgate.HostId;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.host.configuration.LogTail.SnapshotSeen;
import org.limpetgate.host.configuration.PeerConfigurations.PeerVersion;
import org.limpetgate.platform.LogService;
import org.limpetgate.wire.ConfigurationCodec;

/**
 * Writes snapshots to the configuration stream well before retention passes.
 * <p>
 * The reachable hosts rank themselves by rendezvous hashing. The first writes as soon as
 * a snapshot is due, each further one some seconds later unless it has read one by then.
 * The order saves work only: duplicate snapshots are harmless.
 * <p>
 * Belongs to the control thread.
 */
final class SnapshotWriter {

	/** Time between two looks at the state of the stream. */
	static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

	/**
	 * Time that each further host in the order waits: enough to append a snapshot and to
	 * read it back.
	 */
	static final long RANK_DELAY_NANOS = Duration.ofSeconds(3).toNanos();

	/** Rank from which hosts no longer wait longer. */
	static final int MAX_RANK = 60;

	/**
	 * Records after a snapshot from which a new one is due, so that a starting host reads
	 * a bounded number of records.
	 */
	static final long MAX_RECORDS_SINCE = 2000;

	private static final long NEVER = Long.MIN_VALUE;

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final Control control;

	private final HostId self;

	private final LogService service;

	private final ConfigurationTable table;

	private final LogTail tail;

	private final PeerConfigurations peers;

	private final long intervalNanos;

	private long dueSinceNanos = NEVER;

	private long writtenAtNanos = NEVER;

	SnapshotWriter(Control control, HostId self, LogService service, ConfigurationTable table, LogTail tail,
			PeerConfigurations peers, long intervalNanos) {
		this.control = control;
		this.self = self;
		this.service = service;
		this.table = table;
		this.tail = tail;
		this.peers = peers;
		this.intervalNanos = intervalNanos;
	}

	void look() {
		if (!this.tail.isCaughtUp() || !isDue()) {
			this.dueSinceNanos = NEVER;
			return;
		}
		long now = this.control.nowNanos();
		if (this.dueSinceNanos == NEVER) {
			this.dueSinceNanos = now;
		}
		boolean waiting = this.writtenAtNanos != NEVER && now - this.writtenAtNanos < RANK_DELAY_NANOS;
		if (!waiting && now - this.dueSinceNanos >= rank() * RANK_DELAY_NANOS) {
			this.writtenAtNanos = now;
			write();
		}
	}

	private boolean isDue() {
		if (this.table.version() == ConfigurationTable.NO_VERSION) {
			return false;
		}
		SnapshotSeen seen = this.tail.snapshotSeen();
		long retained = this.tail.firstRetainedOffset();
		long next = this.table.nextOffset();
		boolean usable = seen.offset() >= retained && seen.version() + 1 >= retained;
		if (!usable && retained > 0) {
			return true;
		}
		long sinceNanos = usable ? seen.timeNanos() : this.tail.firstRecordTimeNanos();
		boolean old = sinceNanos != NEVER && this.control.nowNanos() - sinceNanos >= this.intervalNanos;
		boolean nearTrimming = retained > 0 && seen.version() + 1 - retained < (next - retained) / 2;
		return old || nearTrimming || next - 1 - Math.max(seen.offset(), 0) >= MAX_RECORDS_SINCE;
	}

	private int rank() {
		long mine = weight(this.self);
		long higher = this.peers.versions()
			.stream()
			.map(PeerVersion::host)
			.filter((host) -> !host.equals(this.self) && weight(host) > mine)
			.count();
		return (int) Math.min(higher, MAX_RANK);
	}

	// The offset of the latest snapshot is part of the key, so that the work goes round
	// among the hosts.
	private long weight(HostId host) {
		long hash = host.value().hashCode() * 0x9E3779B97F4A7C15L + this.tail.snapshotSeen().offset();
		hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
		hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
		return hash ^ (hash >>> 31);
	}

	private void write() {
		byte[] payload = ConfigurationCodec.encode(this.table.toSnapshot());
		long version = this.table.version();
		this.control.whenEnded(this.service.append(ConfigurationService.STREAM, List.of(payload)),
				(offset, failure) -> written(version, payload.length, failure));
	}

	private void written(long version, int bytes, Throwable failure) {
		if (failure != null) {
			log.atWarning()
				.log("LG2104 SNAPSHOT_UNCONFIRMED snapshot of version %d was not confirmed: %s; it is written again if none is read",
						version, failure.getMessage());
		}
		else {
			log.atInfo().log("LG2105 SNAPSHOT_WRITTEN wrote a snapshot of version %d in %d bytes", version, bytes);
		}
	}

}
