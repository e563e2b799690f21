package org.limpetgate.wire;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.proto.ClaimBatch;
import org.limpetgate.proto.IncarnationId;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.KeyHash;

/**
 * Converts claims to and from records of the claims stream.
 * <p>
 * Stateless and thread-safe.
 */
public final class ClaimCodec {

	private ClaimCodec() {
	}

	/**
	 * Encodes claims of one holder as a record.
	 * @param holder the holder of all claims, not null
	 * @param claims the claims, empty for a marker
	 * @return the payload of the record, not null
	 * @throws IllegalArgumentException if a claim has another holder
	 */
	public static byte[] encode(Incarnation holder, List<Claim> claims) {
		ClaimBatch.Builder batch = ClaimBatch.newBuilder().setHolder(toProto(holder));
		for (Claim claim : claims) {
			if (!claim.holder().equals(holder)) {
				throw new IllegalArgumentException(
						"a claim of " + claim.holder() + " cannot be in a batch of " + holder + "; use one per holder");
			}
			batch.addClaims(toProto(claim));
		}
		return batch.build().toByteArray();
	}

	/**
	 * Decodes a record.
	 * @param payload the payload, not null
	 * @return the claims, empty for a marker
	 * @throws IllegalArgumentException if the payload is not a batch of claims
	 */
	public static List<Claim> decode(byte[] payload) {
		try {
			ClaimBatch batch = ClaimBatch.parseFrom(payload);
			Incarnation holder = fromProto(batch.getHolder());
			List<Claim> claims = new ArrayList<>(batch.getClaimsCount());
			for (org.limpetgate.proto.Claim claim : batch.getClaimsList()) {
				claims.add(fromProto(holder, claim));
			}
			return claims;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the record is not a batch of claims", ex);
		}
	}

	/**
	 * Decodes a record, with no claims if the payload is not a batch of claims. Every
	 * host skips such a record alike, so the fold stays the same everywhere.
	 * @param record the record, not null
	 * @return the record with its claims, not null
	 */
	public static ClaimRecord decode(LogRecord record) {
		List<Claim> claims;
		try {
			claims = decode(record.payload());
		}
		catch (IllegalArgumentException ex) {
			claims = List.of();
		}
		return new ClaimRecord(record.offset(), record.appendTimeNanos(), claims);
	}

	private static IncarnationId toProto(Incarnation incarnation) {
		return IncarnationId.newBuilder().setHost(incarnation.host().value()).setNumber(incarnation.number()).build();
	}

	private static Incarnation fromProto(IncarnationId incarnation) {
		return Incarnation.of(HostId.of(incarnation.getHost()), incarnation.getNumber());
	}

	private static org.limpetgate.proto.Claim toProto(Claim claim) {
		return org.limpetgate.proto.Claim.newBuilder()
			.setKeyHash(ByteString.copyFrom(claim.key().toBytes()))
			.setFingerprint(claim.fingerprint())
			.setExpiryNanos(claim.expiryNanos())
			.setGeneration(claim.generation())
			.build();
	}

	private static Claim fromProto(Incarnation holder, org.limpetgate.proto.Claim claim) {
		if (claim.getKeyHash().size() != KeyHash.BYTES) {
			throw new IllegalArgumentException("a key hash has " + claim.getKeyHash().size() + " bytes, not 16");
		}
		return new Claim(KeyHash.ofBytes(claim.getKeyHash().toByteArray()), claim.getFingerprint(), holder,
				claim.getExpiryNanos(), claim.getGeneration());
	}

}
