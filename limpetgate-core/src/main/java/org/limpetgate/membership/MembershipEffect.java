package org.limpetgate.membership;

import java.util.List;
import java.util.Map;

import org.limpetgate.HostId;

/**
 * An action that a {@link Membership} requests from its host.
 */
public sealed interface MembershipEffect {

	/**
	 * Sends a heartbeat. The host adds its demand, version and leaving upstreams.
	 *
	 * @param to the receiver
	 * @param sequence the sequence number
	 * @param receivedHeartbeats the newest heartbeat received from each peer
	 */
	record SendHeartbeat(HostId to, long sequence,
			Map<HostId, Heartbeat.ReceivedHeartbeat> receivedHeartbeats) implements MembershipEffect {
	}

	/**
	 * Sends digests of data centres. The host adds the digest of its own data centre if
	 * {@code includeOwn} is set.
	 *
	 * @param to the receiver
	 * @param includeOwn whether the digest of the sender's data centre is included
	 * @param relayed digests of other data centres
	 */
	record SendDigests(HostId to, boolean includeOwn, List<DataCentreDigest> relayed) implements MembershipEffect {
	}

	/**
	 * Reports that the state, incarnation or address of a member changed, or whether it
	 * receives the heartbeats of this host.
	 *
	 * @param before the member before the change, null if it was not known
	 * @param after the member after the change, null if it was removed
	 */
	record MemberChanged(Member before, Member after) implements MembershipEffect {
	}

}
