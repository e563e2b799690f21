package org.limpetgate.wire;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.proto.ClaimBatch;
import org.limpetgate.proto.IncarnationId;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ClaimCodec}.
 */
class ClaimCodecTests {

	private static final long MAX_MILLIS = Long.MAX_VALUE / 1_000_000;

	private static final Incarnation HOLDER = Incarnation.of(HostId.of("host1"), Long.MAX_VALUE);

	@Property(seed = "1", tries = 200)
	void decodeReadsWhatEncodeWrites(@ForAll long high, @ForAll int low,
			@ForAll @LongRange(max = (1L << 48) - 1) long fingerprint,
			@ForAll @LongRange(min = 1, max = MAX_MILLIS) long expiry,
			@ForAll @LongRange(min = 1, max = MAX_MILLIS) long otherExpiry, @ForAll @IntRange int generation) {
		Claim claim = new Claim(new KeyHash(high, low), fingerprint, HOLDER, expiry * 1_000_000, generation);
		Claim other = new Claim(new KeyHash(low, low), ~fingerprint & 0xffff_ffff_ffffL, HOLDER,
				otherExpiry * 1_000_000, 0);
		assertThat(ClaimCodec.decode(ClaimCodec.encode(HOLDER, List.of(claim, other)))).containsExactly(claim, other);
	}

	// Guards against a malformed record that one host ignores while another host reads it
	// or fails on it.
	@Example
	void malformedRecordsHaveNoClaims() {
		ClaimBatch valid = batch(24, 12, 1, new long[] { 0, 5 });
		assertThat(ClaimCodec.decode(valid.toByteArray())).hasSize(2);
		Map<String, byte[]> malformed = new LinkedHashMap<>();
		malformed.put("empty", new byte[0]);
		malformed.put("not protobuf", new byte[] { 1, 2, 3 });
		malformed.put("truncated", Arrays.copyOf(valid.toByteArray(), valid.getSerializedSize() - 1));
		malformed.put("no holder", valid.toBuilder().clearHolder().build().toByteArray());
		malformed.put("one claim in a message of its own", new byte[] { 0x12, 0x02, 0x0a, 0x00 });
		malformed.put("one hash too few", batch(12, 12, 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("one hash too many", batch(36, 12, 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("hashes of 16 bytes", batch(32, 12, 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("one fingerprint too few", batch(24, 6, 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("fingerprints of 8 bytes", batch(24, 16, 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("one expiry too few", batch(24, 12, 1, new long[] { 0 }).toByteArray());
		malformed.put("no expiry", batch(24, 12, 1, new long[0]).toByteArray());
		malformed.put("no base", batch(24, 12, 0, new long[] { 0, 5 }).toByteArray());
		malformed.put("a negative base", batch(24, 12, -1, new long[] { 0, 5 }).toByteArray());
		malformed.put("a base too high", batch(24, 12, MAX_MILLIS + 1, new long[] { 0, 5 }).toByteArray());
		malformed.put("a negative expiry", batch(24, 12, 9, new long[] { 0, -5 }).toByteArray());
		malformed.put("an expiry too high", batch(24, 12, 9, new long[] { 0, MAX_MILLIS - 8 }).toByteArray());
		malformed.put("a sum that overflows", batch(24, 12, 9, new long[] { 0, Long.MAX_VALUE }).toByteArray());
		malformed.put("one generation too few", valid.toBuilder().addGenerations(1).build().toByteArray());
		malformed.put("a negative generation",
				valid.toBuilder().addGenerations(0).addGenerations(-1).build().toByteArray());
		malformed.forEach((name,
				payload) -> assertThat(ClaimCodec.decode(new LogRecord(7, 8, payload)).claims()).as(name).isEmpty());
		assertThat(ClaimCodec.decode(ClaimCodec.encode(HOLDER, List.of()))).isEmpty();
	}

	private static ClaimBatch batch(int hashBytes, int fingerprintBytes, long base, long[] expiries) {
		return ClaimBatch.newBuilder()
			.setHolder(IncarnationId.newBuilder().setHost("host1").setNumber(1))
			.setBaseExpiryMillis(base)
			.setKeyHashes(ByteString.copyFrom(new byte[hashBytes]))
			.setFingerprints(ByteString.copyFrom(new byte[fingerprintBytes]))
			.addAllExpiryMillis(() -> Arrays.stream(expiries).iterator())
			.build();
	}

	@Example
	void encodeRejectsOtherHoldersAndFractionsOfAMillisecond() {
		Claim other = new Claim(new KeyHash(1, 2), 3, Incarnation.of(HostId.of("host2"), 1), 4_000_000, 0);
		Claim fractional = new Claim(new KeyHash(1, 2), 3, HOLDER, 4_000_001, 0);
		for (Claim claim : List.of(other, fractional)) {
			assertThatIllegalArgumentException().isThrownBy(() -> ClaimCodec.encode(HOLDER, List.of(claim)));
		}
	}

}
