package org.limpetgate.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.PoolName;
import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.PeerLoad;

/**
 * The message that an entry host sends to the other hosts of its data centre at each
 * heartbeat interval.
 *
 * @param incarnation the sender
 * @param address the address at which the sender accepts connections of its peers
 * @param sequence a number that increases with each heartbeat of the incarnation
 * @param configurationVersion the version of the tables in use on the sender
 * @param size the relative size of the sender, at least 1
 * @param leaving whether the sender is leaving
 * @param demand the sender's demand by pool
 * @param receivedHeartbeats the newest heartbeat that the sender has received from each
 * peer; empty in most heartbeats
 * @param leavingUpstreams the upstreams that have announced to the sender that they are
 * leaving
 */
public record Heartbeat(Incarnation incarnation, MemberAddress address, long sequence, long configurationVersion,
		int size, boolean leaving, Map<PoolName, PeerLoad.Demand> demand,
		Map<HostId, ReceivedHeartbeat> receivedHeartbeats, List<UpstreamId> leavingUpstreams) {

	public Heartbeat {
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(address, "address");
		demand = Map.copyOf(demand);
		receivedHeartbeats = Map.copyOf(receivedHeartbeats);
		leavingUpstreams = List.copyOf(leavingUpstreams);
	}

	/**
	 * The newest heartbeat received from a peer.
	 *
	 * @param incarnation the incarnation that sent it
	 * @param sequence its sequence number
	 */
	public record ReceivedHeartbeat(Incarnation incarnation, long sequence) {

		/**
		 * Tests whether this heartbeat is newer than another one of the same host.
		 * @param other the other heartbeat, null for none
		 * @return true if it is newer
		 */
		public boolean isNewerThan(ReceivedHeartbeat other) {
			if (other == null || this.incarnation.isLaterThan(other.incarnation)) {
				return true;
			}
			return this.incarnation.equals(other.incarnation) && this.sequence > other.sequence;
		}

	}

}
