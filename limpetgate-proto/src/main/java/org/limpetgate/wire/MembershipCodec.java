package org.limpetgate.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.PoolName;
import org.limpetgate.UpstreamId;
import org.limpetgate.dispatch.PeerLoad;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.Heartbeat;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.proto.DigestMember;
import org.limpetgate.proto.Digests;
import org.limpetgate.proto.IncarnationId;
import org.limpetgate.proto.PeerSeen;
import org.limpetgate.proto.PoolDemand;
import org.limpetgate.proto.PoolState;

/**
 * Converts incarnations, heartbeats and digests to and from the messages of
 * {@code limpetgate.proto}.
 * <p>
 * Methods that read a message throw {@link IllegalArgumentException} if an id in it is
 * not valid. Stateless and thread-safe.
 */
public final class MembershipCodec {

	private MembershipCodec() {
	}

	/**
	 * Converts an incarnation to its message.
	 * @param incarnation the incarnation, not null
	 * @return the message, not null
	 */
	public static IncarnationId toMessage(Incarnation incarnation) {
		return IncarnationId.newBuilder().setHost(incarnation.host().value()).setNumber(incarnation.number()).build();
	}

	/**
	 * Reads an incarnation from its message.
	 * @param message the message, not null
	 * @return the incarnation, not null
	 */
	public static Incarnation toIncarnation(IncarnationId message) {
		return Incarnation.of(HostId.of(message.getHost()), message.getNumber());
	}

	/**
	 * Converts a heartbeat to its message.
	 * @param heartbeat the heartbeat, not null
	 * @return the message, not null
	 */
	public static org.limpetgate.proto.Heartbeat toMessage(Heartbeat heartbeat) {
		org.limpetgate.proto.Heartbeat.Builder message = org.limpetgate.proto.Heartbeat.newBuilder()
			.setIncarnation(toMessage(heartbeat.incarnation()))
			.setAddress(heartbeat.address().address())
			.setPort(heartbeat.address().port())
			.setDataCentre(heartbeat.address().dataCentre().value())
			.setSequence(heartbeat.sequence())
			.setConfigurationVersion(heartbeat.configurationVersion())
			.setSize(heartbeat.size())
			.setLeaving(heartbeat.leaving());
		heartbeat.demand().forEach((pool, demand) -> message.addDemand(toMessage(pool, demand)));
		heartbeat.receivedHeartbeats()
			.values()
			.forEach((received) -> message.addSeen(PeerSeen.newBuilder()
				.setIncarnation(toMessage(received.incarnation()))
				.setSequence(received.sequence())));
		heartbeat.leavingUpstreams().forEach((upstream) -> message.addLeavingUpstreams(upstream.value()));
		return message.build();
	}

	/**
	 * Reads a heartbeat from its message.
	 * @param message the message, not null
	 * @return the heartbeat, not null
	 */
	public static Heartbeat toHeartbeat(org.limpetgate.proto.Heartbeat message) {
		Incarnation incarnation = toIncarnation(message.getIncarnation());
		MemberAddress address = new MemberAddress(incarnation.host(), DataCentreId.of(message.getDataCentre()),
				message.getAddress(), message.getPort());
		Map<HostId, Heartbeat.ReceivedHeartbeat> received = new HashMap<>();
		for (PeerSeen entry : message.getSeenList()) {
			Incarnation peer = toIncarnation(entry.getIncarnation());
			received.put(peer.host(), new Heartbeat.ReceivedHeartbeat(peer, entry.getSequence()));
		}
		List<UpstreamId> leaving = message.getLeavingUpstreamsList().stream().map(UpstreamId::of).toList();
		return new Heartbeat(incarnation, address, message.getSequence(), message.getConfigurationVersion(),
				message.getSize(), message.getLeaving(), toDemand(message.getDemandList()), received, leaving);
	}

	/**
	 * Converts digests to their message.
	 * @param digests the digests, not null
	 * @return the message, not null
	 */
	public static Digests toMessage(List<DataCentreDigest> digests) {
		Digests.Builder message = Digests.newBuilder();
		digests.forEach((digest) -> message.addDigests(toMessage(digest)));
		return message.build();
	}

	private static org.limpetgate.proto.DataCentreDigest toMessage(DataCentreDigest digest) {
		org.limpetgate.proto.DataCentreDigest.Builder message = org.limpetgate.proto.DataCentreDigest.newBuilder()
			.setDataCentre(digest.dataCentre().value())
			.setSentAtNanos(digest.sentNanos())
			.setLiveHosts(digest.members().size())
			.setLowestConfigurationVersion(digest.lowestConfigurationVersion());
		digest.pools()
			.forEach((pool,
					state) -> message.addPools(PoolState.newBuilder()
						.setPool(pool.value())
						.setWaitNanos(state.waitNanos())
						.setTasksPerSecond((float) state.tasksPerSecond())));
		digest.members()
			.forEach((incarnation,
					address) -> message.addMembers(DigestMember.newBuilder()
						.setIncarnation(toMessage(incarnation))
						.setAddress(address.address())
						.setPort(address.port())));
		return message.build();
	}

	/**
	 * Reads digests from their message.
	 * @param message the message, not null
	 * @return the digests, not null
	 */
	public static List<DataCentreDigest> toDigests(Digests message) {
		return message.getDigestsList().stream().map(MembershipCodec::toDigest).toList();
	}

	private static DataCentreDigest toDigest(org.limpetgate.proto.DataCentreDigest message) {
		DataCentreId dataCentre = DataCentreId.of(message.getDataCentre());
		Map<Incarnation, MemberAddress> members = new HashMap<>();
		for (DigestMember member : message.getMembersList()) {
			Incarnation incarnation = toIncarnation(member.getIncarnation());
			members.put(incarnation,
					new MemberAddress(incarnation.host(), dataCentre, member.getAddress(), member.getPort()));
		}
		return new DataCentreDigest(dataCentre, message.getSentAtNanos(), message.getLowestConfigurationVersion(),
				toPools(message.getPoolsList()), members);
	}

	private static Map<PoolName, DataCentreDigest.PoolState> toPools(List<PoolState> messages) {
		Map<PoolName, DataCentreDigest.PoolState> pools = new HashMap<>();
		messages.forEach((entry) -> pools.put(PoolName.of(entry.getPool()),
				new DataCentreDigest.PoolState(entry.getWaitNanos(), entry.getTasksPerSecond())));
		return pools;
	}

	private static PoolDemand toMessage(PoolName pool, PeerLoad.Demand demand) {
		return PoolDemand.newBuilder()
			.setPool(pool.value())
			.setQueued(demand.queued())
			.setInFlight(demand.inFlight())
			.build();
	}

	private static Map<PoolName, PeerLoad.Demand> toDemand(List<PoolDemand> messages) {
		Map<PoolName, PeerLoad.Demand> demand = new HashMap<>();
		messages.forEach((entry) -> demand.put(PoolName.of(entry.getPool()),
				new PeerLoad.Demand(entry.getQueued(), entry.getInFlight())));
		return demand;
	}

}
