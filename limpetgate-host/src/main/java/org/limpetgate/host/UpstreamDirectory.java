package org.limpetgate.host;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.UpstreamId;
import org.limpetgate.config.Configuration;
import org.limpetgate.config.Pool;
import org.limpetgate.config.Upstream;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedUpstream;

/**
 * The addresses of the upstreams in the tables, and which upstreams are leaving.
 * <p>
 * The dispatcher and the peers are told of each upstream that starts to leave, once. The
 * state is confined to the control thread, except for {@link #address}, which is
 * thread-safe.
 */
final class UpstreamDirectory {

	private final Dispatcher dispatcher;

	private final PeerService peers;

	private final EventLog events;

	private final LeavingUpstreams leaving = new LeavingUpstreams();

	private volatile Map<UpstreamId, InetSocketAddress> addresses = Map.of();

	UpstreamDirectory(Dispatcher dispatcher, PeerService peers, EventLog events) {
		this.dispatcher = dispatcher;
		this.peers = peers;
		this.events = events;
	}

	/**
	 * Returns the address of an upstream.
	 * @param upstream the upstream
	 * @return the address, null if the tables do not have the upstream
	 */
	InetSocketAddress address(UpstreamId upstream) {
		return this.addresses.get(upstream);
	}

	/**
	 * Returns the upstreams that are leaving.
	 * @return the upstreams
	 */
	List<UpstreamId> leaving() {
		return this.leaving.all();
	}

	/**
	 * Replaces the addresses by those of new tables.
	 * @param tables the tables
	 */
	void configure(Configuration tables) {
		Map<UpstreamId, InetSocketAddress> newAddresses = new HashMap<>();
		for (Pool pool : tables.pools()) {
			for (Upstream upstream : pool.upstreams()) {
				newAddresses.put(upstream.id(), new InetSocketAddress(upstream.address(), upstream.port()));
			}
		}
		this.addresses = newAddresses;
	}

	/**
	 * Processes a report that an upstream is leaving.
	 * @param upstream the upstream
	 * @param nowNanos the current time
	 */
	void reportLeaving(UpstreamId upstream, long nowNanos) {
		if (this.leaving.add(upstream, nowNanos)) {
			this.events.write(LogEvent.UPSTREAM_LEAVING, upstream);
			this.dispatcher.upstreamLeaving(upstream, nowNanos);
			this.peers.announce();
		}
	}

	/**
	 * Processes the upstreams of a host list.
	 * @param view the host list
	 * @param nowNanos the current time
	 */
	void hostListRead(HostListView view, long nowNanos) {
		for (ListedUpstream upstream : view.upstreams()) {
			if (upstream.leaving()) {
				reportLeaving(upstream.id(), nowNanos);
			}
		}
		this.leaving.removeReturned(view, nowNanos)
			.forEach((upstream) -> this.dispatcher.upstreamReturned(upstream, nowNanos));
	}

}
