package org.limpetgate.membership;

import org.limpetgate.Incarnation;

/**
 * The state of another entry host, as seen by this host.
 * <p>
 * Immutable and thread-safe; {@link Membership} replaces it on each change.
 *
 * @param address the address at which the host accepts connections of its peers
 * @param state the state
 * @param incarnation the newest known incarnation, null before the first heartbeat
 * @param lastHeartbeatNanos when a heartbeat was last received or reported by a peer, in
 * nanoseconds since the Unix epoch
 * @param receivesOurHeartbeats whether the host receives the heartbeats of this host;
 * false if they are lost in that direction
 * @param heartbeat the newest heartbeat received directly from the current incarnation,
 * null if there is none
 */
public record Member(MemberAddress address, MemberState state, Incarnation incarnation, long lastHeartbeatNanos,
		boolean receivesOurHeartbeats, Heartbeat heartbeat) {

	Member withState(MemberState newState) {
		return new Member(this.address, newState, this.incarnation, this.lastHeartbeatNanos, this.receivesOurHeartbeats,
				this.heartbeat);
	}

	Member withAddress(MemberAddress newAddress) {
		return new Member(newAddress, this.state, this.incarnation, this.lastHeartbeatNanos, this.receivesOurHeartbeats,
				this.heartbeat);
	}

	Member withIndirectHeartbeat(MemberState newState, Incarnation newIncarnation, long nowNanos) {
		Heartbeat retained = (this.heartbeat != null && newIncarnation.equals(this.heartbeat.incarnation()))
				? this.heartbeat : null;
		return new Member(this.address, newState, newIncarnation, nowNanos, this.receivesOurHeartbeats, retained);
	}

	Member withHeartbeat(Heartbeat received, boolean receivesOurHeartbeats, long nowNanos) {
		MemberState newState = received.leaving() ? MemberState.LEAVING : MemberState.JOINED;
		return new Member(received.address(), newState, received.incarnation(), nowNanos, receivesOurHeartbeats,
				received);
	}

}
