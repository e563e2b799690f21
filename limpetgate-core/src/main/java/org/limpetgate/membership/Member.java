package org.limpetgate.membership;

import org.limpetgate.Incarnation;

/**
 * Another entry host as this one sees it.
 * <p>
 * Immutable and thread-safe; {@link Membership} replaces it at each change.
 *
 * @param address where the host accepts connections
 * @param state the state
 * @param incarnation the newest incarnation heard of, null if never heard from
 * @param heardNanos when a sign of life last arrived, in nanoseconds since the Unix epoch
 * @param hearsThisHost whether the host receives the heartbeats of this one; false under
 * one-way loss
 * @param heartbeat the newest heartbeat received directly, null if there is none
 */
public record Member(MemberAddress address, MemberState state, Incarnation incarnation, long heardNanos,
		boolean hearsThisHost, Heartbeat heartbeat) {

	Member withState(MemberState newState) {
		return new Member(this.address, newState, this.incarnation, this.heardNanos, this.hearsThisHost,
				this.heartbeat);
	}

	Member withAddress(MemberAddress newAddress) {
		return new Member(newAddress, this.state, this.incarnation, this.heardNanos, this.hearsThisHost,
				this.heartbeat);
	}

	Member withSign(MemberState newState, Incarnation newIncarnation, long nowNanos) {
		Heartbeat kept = (this.heartbeat != null && newIncarnation.equals(this.heartbeat.incarnation()))
				? this.heartbeat : null;
		return new Member(this.address, newState, newIncarnation, nowNanos, this.hearsThisHost, kept);
	}

	Member withHeartbeat(Heartbeat received, boolean hears, long nowNanos) {
		MemberState newState = received.leaving() ? MemberState.LEAVING : MemberState.JOINED;
		return new Member(received.address(), newState, received.incarnation(), nowNanos, hears, received);
	}

}
