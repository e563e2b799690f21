package org.limpetgate.bench.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.membership.DataCentreDigest;
import org.limpetgate.membership.Heartbeat;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.membership.Membership;
import org.limpetgate.membership.MembershipEffect;
import org.limpetgate.membership.MembershipTimings;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.wire.MembershipCodec;

/**
 * Measures the processor time and encoded size of heartbeats and digests, and the memory
 * of the membership.
 */
final class MembershipCost {

	private static final int[] HOSTS = { 2, 6, 12, 24 };

	private static final int[] POOLS = { 2, 10, 30, 60 };

	private static final int[] DATA_CENTRES = { 3, 11, 22 };

	private static final int DEFAULT_HOSTS = 6;

	private static final int DEFAULT_POOLS = 10;

	/** The length prefix of a frame. */
	private static final int FRAME_LENGTH_BYTES = 4;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final long seed;

	MembershipCost(long seed) {
		this.seed = seed;
	}

	List<Series> measure() {
		List<Series> series = new ArrayList<>();
		series.add(Series.measure("heartbeat frame, 10 pools", "bytes", "host of the data centre", HOSTS,
				(hosts) -> frameBytes(heartbeat(0, hosts, DEFAULT_POOLS, 1))));
		series.add(Series.measure("heartbeat frame without what was heard", "bytes", "pool", POOLS,
				(pools) -> frameBytes(heartbeat(0, 1, pools, 1))));
		series.add(Series.measure("heartbeat frame, 6 hosts", "bytes", "pool", POOLS,
				(pools) -> frameBytes(heartbeat(0, DEFAULT_HOSTS, pools, 1))));
		series.add(Series.measureTime("heartbeat sent and one received, 10 pools", "host of the data centre", HOSTS,
				(hosts) -> heartbeatNanos(hosts, DEFAULT_POOLS)));
		series.add(Series.measureTime("heartbeat sent and one received, 6 hosts", "pool", POOLS,
				(pools) -> heartbeatNanos(DEFAULT_HOSTS, pools)));
		series.add(Series.measure("digest frame, 10 pools", "bytes", "host of the data centre", HOSTS,
				(hosts) -> frameBytes(digest(1, hosts, DEFAULT_POOLS, 1))));
		series.add(Series.measure("digest frame, 6 hosts", "bytes", "pool", POOLS,
				(pools) -> frameBytes(digest(1, DEFAULT_HOSTS, pools, 1))));
		series.add(Series.measure("digests received at a host each second, 6 hosts and 10 pools", "bytes",
				"data centre", DATA_CENTRES,
				(dataCentres) -> (dataCentres - 1) * frameBytes(digest(1, DEFAULT_HOSTS, DEFAULT_POOLS, 1))));
		series.add(Series.measureTime("digests of a second at the relay: own sent and all others received",
				"data centre", DATA_CENTRES, this::digestNanos));
		series.add(Series.measure("membership memory, 6 hosts each and 10 pools", "bytes", "data centre", DATA_CENTRES,
				this::membershipBytes));
		return series;
	}

	private Heartbeat heartbeat(int sender, int hosts, int pools, long sequence) {
		Map<HostId, Heartbeat.ReceivedHeartbeat> receivedHeartbeats = new HashMap<>();
		for (int i = 0; i < hosts; i++) {
			if (i != sender) {
				Incarnation other = SampleData.host(0, i);
				receivedHeartbeats.put(other.host(), new Heartbeat.ReceivedHeartbeat(other, 1_000_000 + sequence));
			}
		}
		return new Heartbeat(SampleData.host(0, sender), SampleData.address(0, sender), 1_000_000 + sequence, 500_000,
				4, false, SampleData.demand(pools, new Random(this.seed)), receivedHeartbeats, List.of());
	}

	private static PeerFrame frame(Heartbeat heartbeat) {
		return PeerFrame.newBuilder().setProtocolVersion(1).setHeartbeat(MembershipCodec.toMessage(heartbeat)).build();
	}

	private static double frameBytes(Heartbeat heartbeat) {
		return frame(heartbeat).getSerializedSize() + FRAME_LENGTH_BYTES;
	}

	private DataCentreDigest digest(int dataCentre, int hosts, int pools, long sent) {
		Map<Incarnation, MemberAddress> members = new HashMap<>();
		for (int i = 0; i < hosts; i++) {
			members.put(SampleData.host(dataCentre, i), SampleData.address(dataCentre, i));
		}
		return new DataCentreDigest(SampleData.dataCentre(dataCentre), SampleData.EPOCH_NANOS + sent, 500_000,
				SampleData.poolStates(pools, new Random(this.seed)), members);
	}

	private static PeerFrame frame(DataCentreDigest digest) {
		return PeerFrame.newBuilder()
			.setProtocolVersion(1)
			.setDigests(MembershipCodec.toMessage(List.of(digest)))
			.build();
	}

	private static double frameBytes(DataCentreDigest digest) {
		return frame(digest).getSerializedSize() + FRAME_LENGTH_BYTES;
	}

	private static PeerFrame parse(byte[] frame) {
		try {
			return PeerFrame.parseFrom(frame);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Membership membership(int dataCentres, int hosts) {
		Membership membership = new Membership(SampleData.host(0, 0), SampleData.dataCentre(0),
				MembershipTimings.DEFAULT);
		List<MemberAddress> listed = new ArrayList<>();
		for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
			for (int i = 0; i < hosts; i++) {
				listed.add(SampleData.address(dataCentre, i));
			}
		}
		membership.setListedHosts(listed);
		return membership;
	}

	// Runs heartbeat intervals of one host with its peers. The time that the peers need
	// to create their heartbeats is measured separately and subtracted.
	private double heartbeatNanos(int hosts, int pools) {
		Membership membership = membership(1, hosts);
		Heartbeat sentHeartbeat = heartbeat(0, hosts, pools, 1);
		long[] step = new long[1];
		double totalNanos = Meter.nanos(() -> {
			step[0]++;
			long now = SampleData.EPOCH_NANOS + step[0] * MembershipTimings.DEFAULT.heartbeatNanos();
			membership.tick(now, (effect) -> {
				if (effect instanceof MembershipEffect.SendHeartbeat) {
					frame(sentHeartbeat).toByteArray();
				}
			});
			for (int peer = 1; peer < hosts; peer++) {
				byte[] bytes = frame(heartbeat(peer, hosts, pools, step[0])).toByteArray();
				membership.heartbeatReceived(MembershipCodec.toHeartbeat(parse(bytes).getHeartbeat()), now);
			}
		});
		double peerNanos = Meter.nanos(() -> {
			step[0]++;
			for (int peer = 1; peer < hosts; peer++) {
				frame(heartbeat(peer, hosts, pools, step[0])).toByteArray();
			}
		});
		return (totalNanos - peerNanos) / (hosts - 1);
	}

	private double digestNanos(int dataCentres) {
		Membership membership = membership(dataCentres, DEFAULT_HOSTS);
		long[] step = new long[1];
		double totalNanos = Meter.nanos(() -> {
			long now = SampleData.EPOCH_NANOS + ++step[0] * SECOND_NANOS;
			membership.tick(now, (effect) -> {
				if (effect instanceof MembershipEffect.SendDigests) {
					frame(digest(0, DEFAULT_HOSTS, DEFAULT_POOLS, step[0])).toByteArray();
				}
			});
			for (int dataCentre = 1; dataCentre < dataCentres; dataCentre++) {
				byte[] bytes = frame(digest(dataCentre, DEFAULT_HOSTS, DEFAULT_POOLS, step[0])).toByteArray();
				membership.digestsReceived(MembershipCodec.toDigests(parse(bytes).getDigests()),
						SampleData.dataCentre(dataCentre), now);
			}
		});
		double senderNanos = Meter.nanos(() -> {
			step[0]++;
			for (int dataCentre = 1; dataCentre < dataCentres; dataCentre++) {
				frame(digest(dataCentre, DEFAULT_HOSTS, DEFAULT_POOLS, step[0])).toByteArray();
			}
		});
		return totalNanos - senderNanos;
	}

	private double membershipBytes(int dataCentres) {
		return Meter.heapBytes(() -> {
			Membership membership = membership(dataCentres, DEFAULT_HOSTS);
			for (int dataCentre = 1; dataCentre < dataCentres; dataCentre++) {
				byte[] bytes = frame(digest(dataCentre, DEFAULT_HOSTS, DEFAULT_POOLS, 1)).toByteArray();
				membership.digestsReceived(MembershipCodec.toDigests(parse(bytes).getDigests()),
						SampleData.dataCentre(dataCentre), SampleData.EPOCH_NANOS);
			}
			return membership;
		});
	}

}
