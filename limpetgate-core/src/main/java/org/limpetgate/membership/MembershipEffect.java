package org.limpetgate.membership;

import java.util.List;
import java.util.Map;

import org.limpetgate.HostId;

/**
 * What a {@link Membership} asks its host to do.
 */
public sealed interface MembershipEffect {

	/**
	 * Sends a heartbeat. The host adds its demand, version and leaving upstreams.
	 *
	 * @param to the receiver
	 * @param sequence the sequence number
	 * @param seen the newest heartbeat received from each peer
	 */
	record SendHeartbeat(HostId to, long sequence, Map<HostId, Heartbeat.Seen> seen) implements MembershipEffect {
	}

	/**
	 * Sends digests of data centres. The host adds the digest of its own data centre if
	 * {@code own} is set.
	 *
	 * @param to the receiver
	 * @param own whether the digest of the own data centre goes along
	 * @param relayed digests of other data centres
	 */
	record SendDigests(HostId to, boolean own, List<DataCentreDigest> relayed) implements MembershipEffect {
	}

	/**
	 * Reports that a member changed its state, incarnation or address.
	 *
	 * @param before the member before, null if it was not known
	 * @param after the member now, null if it was forgotten
	 */
	record MemberChanged(Member before, Member after) implements MembershipEffect {
	}

}
