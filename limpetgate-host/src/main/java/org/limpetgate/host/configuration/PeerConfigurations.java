package org.limpetgate.host.configuration;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.limpetgate.HostId;
import org.limpetgate.config.ConfigurationSnapshot;

/**
 * Access to the configurations of other entry hosts.
 * <p>
 * Called on the control thread. Implementations do not block.
 */
public interface PeerConfigurations {

	/** A host without peers. */
	PeerConfigurations NONE = new PeerConfigurations() {

		@Override
		public List<PeerVersion> versions() {
			return List.of();
		}

		@Override
		public CompletableFuture<Optional<ConfigurationSnapshot>> fetch(HostId peer, long newerThan) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

	};

	/**
	 * Returns the joined peers with the versions from their latest heartbeats.
	 * @return the peers, not null
	 */
	List<PeerVersion> versions();

	/**
	 * Requests the state of a peer. The peer answers with
	 * {@link ConfigurationService#snapshotNewerThan}.
	 * @param peer the peer, not null
	 * @param newerThan the version that the state must exceed
	 * @return a future of the state, empty if the peer has no newer one
	 */
	CompletableFuture<Optional<ConfigurationSnapshot>> fetch(HostId peer, long newerThan);

	/**
	 * The version that a peer has in force.
	 *
	 * @param host the peer
	 * @param version the version from its latest heartbeat
	 */
	record PeerVersion(HostId host, long version) {
	}

}
