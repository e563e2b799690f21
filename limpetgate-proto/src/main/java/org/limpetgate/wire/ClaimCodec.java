package org.limpetgate.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.limpetgate.Incarnation;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.proto.ClaimBatch;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.KeyHash;

/**
 * Converts claims to and from records of the claims stream.
 * <p>
 * The fields of the claims are stored in parallel arrays, and expiries as differences, to
 * keep the records small, because every host of a data centre reads every claim. Every
 * host reads a malformed record as one without claims. Stateless and thread-safe.
 */
public final class ClaimCodec {

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long MAX_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

	private ClaimCodec() {
	}

	/**
	 * Encodes claims of one holder as a record.
	 * @param holder the holder of all claims, not null
	 * @param claims the claims, empty for a marker record
	 * @return the payload of the record, not null
	 * @throws IllegalArgumentException if a claim has another holder or an expiry that is
	 * not in whole milliseconds after the Unix epoch
	 */
	public static byte[] encode(Incarnation holder, List<Claim> claims) {
		ClaimBatch.Builder batch = ClaimBatch.newBuilder().setHolder(MembershipCodec.toMessage(holder));
		long base = claims.stream().mapToLong(ClaimCodec::expiryMillis).min().orElse(0);
		batch.setBaseExpiryMillis(base);
		ByteBuffer hashes = ByteBuffer.allocate(claims.size() * KeyHash.BYTES);
		ByteBuffer fingerprints = ByteBuffer.allocate(claims.size() * Claim.FINGERPRINT_BYTES);
		boolean generations = claims.stream().anyMatch((claim) -> claim.generation() > 0);
		for (Claim claim : claims) {
			checkHolder(holder, claim);
			hashes.put(claim.key().toBytes());
			fingerprints.putShort((short) (claim.fingerprint() >>> Integer.SIZE)).putInt((int) claim.fingerprint());
			batch.addExpiryMillis(expiryMillis(claim) - base);
			if (generations) {
				batch.addGenerations(claim.generation());
			}
		}
		return batch.setKeyHashes(ByteString.copyFrom(hashes.array()))
			.setFingerprints(ByteString.copyFrom(fingerprints.array()))
			.build()
			.toByteArray();
	}

	private static void checkHolder(Incarnation holder, Claim claim) {
		if (!claim.holder().equals(holder)) {
			throw new IllegalArgumentException(
					"a claim of " + claim.holder() + " cannot be in a batch of " + holder + "; use one per holder");
		}
	}

	private static long expiryMillis(Claim claim) {
		if (claim.expiryNanos() <= 0 || claim.expiryNanos() % NANOS_PER_MILLI != 0) {
			throw new IllegalArgumentException("the expiry " + claim.expiryNanos()
					+ " ns of a claim is not in whole milliseconds after the Unix epoch; round it before");
		}
		return claim.expiryNanos() / NANOS_PER_MILLI;
	}

	/**
	 * Decodes a record.
	 * @param payload the payload, not null
	 * @return the claims, empty for a marker record
	 * @throws IllegalArgumentException if the payload is not a batch of claims
	 */
	public static List<Claim> decode(byte[] payload) {
		try {
			ClaimBatch batch = ClaimBatch.parseFrom(payload);
			checkLengths(batch);
			Incarnation holder = MembershipCodec.toIncarnation(batch.getHolder());
			ByteBuffer hashes = batch.getKeyHashes().asReadOnlyByteBuffer();
			ByteBuffer fingerprints = batch.getFingerprints().asReadOnlyByteBuffer();
			List<Claim> claims = new ArrayList<>(batch.getExpiryMillisCount());
			for (int i = 0; i < batch.getExpiryMillisCount(); i++) {
				KeyHash key = new KeyHash(hashes.getLong(), hashes.getInt());
				long fingerprint = ((long) Short.toUnsignedInt(fingerprints.getShort()) << Integer.SIZE)
						| Integer.toUnsignedLong(fingerprints.getInt());
				int generation = (batch.getGenerationsCount() > 0) ? batch.getGenerations(i) : 0;
				claims.add(new Claim(key, fingerprint, holder, expiryNanos(batch, i), generation));
			}
			return claims;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("the record is not a batch of claims", ex);
		}
	}

	private static void checkLengths(ClaimBatch batch) {
		int count = batch.getExpiryMillisCount();
		boolean valid = batch.getKeyHashes().size() == (long) count * KeyHash.BYTES
				&& batch.getFingerprints().size() == (long) count * Claim.FINGERPRINT_BYTES
				&& (batch.getGenerationsCount() == 0 || batch.getGenerationsCount() == count);
		if (!valid) {
			throw new IllegalArgumentException("the fields of a batch of claims do not have one entry for each claim");
		}
	}

	// Accepts the times that fit into a positive long of nanoseconds.
	private static long expiryNanos(ClaimBatch batch, int index) {
		long base = batch.getBaseExpiryMillis();
		long offset = batch.getExpiryMillis(index);
		if (base <= 0 || base > MAX_MILLIS || offset < 0 || offset > MAX_MILLIS - base) {
			throw new IllegalArgumentException("the expiry of a claim is out of range");
		}
		return (base + offset) * NANOS_PER_MILLI;
	}

	/**
	 * Decodes a record, without claims if the payload is not a batch of claims. All hosts
	 * ignore such a record in the same way, so that they derive the same state from the
	 * stream.
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

}
