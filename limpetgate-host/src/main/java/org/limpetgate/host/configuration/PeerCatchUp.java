package org.limpetgate.host.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.limpetgate.config.ConfigurationSnapshot;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.host.configuration.PeerConfigurations.PeerVersion;

/**
 * Fetches the configuration from a peer when the log does not bring this host up to date.
 * <p>
 * Not thread-safe: confined to the control thread.
 */
final class PeerCatchUp {

	/** Interval between checks of the versions of the peers. */
	static final long CHECK_PERIOD_NANOS = Duration.ofMillis(250).toNanos();

	/**
	 * Time allowed for the log to deliver a version that a peer already has. With a
	 * shorter time each change would be transferred twice.
	 */
	static final long LOG_DELIVERY_GRACE_NANOS = Duration.ofMillis(400).toNanos();

	/** Time after which an unanswered fetch is abandoned. */
	static final long FETCH_TIMEOUT_NANOS = Duration.ofMillis(800).toNanos();

	private static final long NEVER = Long.MIN_VALUE;

	private final ControlExecutor control;

	private final PeerConfigurations peers;

	private final ConfigurationTable table;

	private final RandomGenerator random;

	private final Consumer<ConfigurationSnapshot> snapshotConsumer;

	private long behindSinceNanos = NEVER;

	private long fetchNumber;

	private long fetchSinceNanos = NEVER;

	PeerCatchUp(ControlExecutor control, PeerConfigurations peers, ConfigurationTable table, RandomGenerator random,
			Consumer<ConfigurationSnapshot> snapshotConsumer) {
		this.control = control;
		this.peers = peers;
		this.table = table;
		this.random = random;
		this.snapshotConsumer = snapshotConsumer;
	}

	/**
	 * Fetches the state of a peer if one has been ahead for
	 * {@link #LOG_DELIVERY_GRACE_NANOS}, or immediately if a parameter is true.
	 * @param inGap whether trimmed records are missing, so that only the state of a peer
	 * or a snapshot can bring this host up to date
	 * @param needsConfirmation whether this host needs the state of a peer even if it is
	 * not newer, to confirm that its own state may be trusted
	 */
	void fetchIfBehind(boolean inGap, boolean needsConfirmation) {
		List<PeerVersion> versions = this.peers.versions();
		long newest = versions.stream().mapToLong(PeerVersion::version).max().orElse(ConfigurationTable.NO_VERSION);
		updateBehindSince(newest > this.table.version());
		boolean behind = this.behindSinceNanos != NEVER
				&& this.control.nowNanos() - this.behindSinceNanos >= LOG_DELIVERY_GRACE_NANOS;
		if ((inGap || needsConfirmation || behind) && !versions.isEmpty() && !isFetching()) {
			fetch(choosePeer(versions, newest), needsConfirmation);
		}
	}

	private void updateBehindSince(boolean behind) {
		if (!behind) {
			this.behindSinceNanos = NEVER;
		}
		else if (this.behindSinceNanos == NEVER) {
			this.behindSinceNanos = this.control.nowNanos();
		}
	}

	private boolean isFetching() {
		return this.fetchSinceNanos != NEVER && this.control.nowNanos() - this.fetchSinceNanos < FETCH_TIMEOUT_NANOS;
	}

	// One time in four, any peer that is ahead is chosen instead of the one with the
	// newest version, so that a peer which does not answer cannot keep this host behind.
	private PeerVersion choosePeer(List<PeerVersion> versions, long newest) {
		boolean anyPeerAhead = this.random.nextInt(4) == 0;
		List<PeerVersion> candidates = versions.stream()
			.filter((peer) -> peer.version() == newest || (anyPeerAhead && peer.version() > this.table.version()))
			.sorted(Comparator.comparing(PeerVersion::host))
			.toList();
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	/**
	 * Tests whether a peer had a newer version at the latest check.
	 * @return true if a peer is ahead
	 */
	boolean isBehind() {
		return this.behindSinceNanos != NEVER;
	}

	private void fetch(PeerVersion peer, boolean needsConfirmation) {
		long number = ++this.fetchNumber;
		this.fetchSinceNanos = this.control.nowNanos();
		long newerThan = this.table.version() - (needsConfirmation ? 1 : 0);
		this.control.whenComplete(this.peers.fetch(peer.host(), newerThan),
				(snapshot, failure) -> fetchCompleted(number, snapshot));
	}

	private void fetchCompleted(long number, Optional<ConfigurationSnapshot> snapshot) {
		if (number == this.fetchNumber) {
			this.fetchSinceNanos = NEVER;
		}
		if (snapshot != null) {
			snapshot.ifPresent(this.snapshotConsumer);
		}
	}

}
