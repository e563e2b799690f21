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
 * Fetches the state of a peer when the log does not bring this host up to date.
 * <p>
 * Belongs to the control thread.
 */
final class PeerCatchUp {

	/** Time between two looks at the versions of the peers. */
	static final long PERIOD_NANOS = Duration.ofMillis(250).toNanos();

	/**
	 * Time that the log has to deliver a version which a peer has already. Below it each
	 * change would be transferred twice.
	 */
	static final long PATIENCE_NANOS = Duration.ofMillis(400).toNanos();

	/** Time after which a fetch without an answer is given up. */
	static final long FETCH_TIMEOUT_NANOS = Duration.ofMillis(800).toNanos();

	private static final long NEVER = Long.MIN_VALUE;

	private final Control control;

	private final PeerConfigurations peers;

	private final ConfigurationTable table;

	private final RandomGenerator random;

	private final Consumer<ConfigurationSnapshot> offers;

	private long behindSinceNanos = NEVER;

	private long fetchNumber;

	private long fetchSinceNanos = NEVER;

	PeerCatchUp(Control control, PeerConfigurations peers, ConfigurationTable table, RandomGenerator random,
			Consumer<ConfigurationSnapshot> offers) {
		this.control = control;
		this.peers = peers;
		this.table = table;
		this.random = random;
		this.offers = offers;
	}

	/**
	 * Fetches if a peer has been ahead for some time, or at once if there is need.
	 * @param inGap whether only the state of a peer or a snapshot can bring this host up
	 * to date
	 * @param confirming whether this host needs the state of a peer even if it is not
	 * newer, to know that its own may be trusted
	 */
	void look(boolean inGap, boolean confirming) {
		List<PeerVersion> versions = this.peers.versions();
		long newest = versions.stream().mapToLong(PeerVersion::version).max().orElse(ConfigurationTable.NO_VERSION);
		noteBehind(newest > this.table.version());
		boolean behind = this.behindSinceNanos != NEVER
				&& this.control.nowNanos() - this.behindSinceNanos >= PATIENCE_NANOS;
		if ((inGap || confirming || behind) && !versions.isEmpty() && !isFetching()) {
			fetch(choose(versions, newest), confirming);
		}
	}

	private void noteBehind(boolean behind) {
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

	// Now and then any peer ahead is chosen and not the most advanced one, so that a peer
	// which does not answer cannot hold this host back.
	private PeerVersion choose(List<PeerVersion> versions, long newest) {
		boolean anyAhead = this.random.nextInt(4) == 0;
		List<PeerVersion> candidates = versions.stream()
			.filter((peer) -> peer.version() == newest || (anyAhead && peer.version() > this.table.version()))
			.sorted(Comparator.comparing(PeerVersion::host))
			.toList();
		return candidates.get(this.random.nextInt(candidates.size()));
	}

	/**
	 * Tests whether a peer had a newer version at the latest look.
	 * @return true if a peer is ahead
	 */
	boolean isBehind() {
		return this.behindSinceNanos != NEVER;
	}

	private void fetch(PeerVersion peer, boolean confirming) {
		long number = ++this.fetchNumber;
		this.fetchSinceNanos = this.control.nowNanos();
		long newerThan = this.table.version() - (confirming ? 1 : 0);
		this.control.whenEnded(this.peers.fetch(peer.host(), newerThan),
				(snapshot, failure) -> fetched(number, snapshot));
	}

	private void fetched(long number, Optional<ConfigurationSnapshot> snapshot) {
		if (number == this.fetchNumber) {
			this.fetchSinceNanos = NEVER;
		}
		if (snapshot != null) {
			snapshot.ifPresent(this.offers);
		}
	}

}
