package org.limpetgate.wire;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.platform.LogRecord;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ClaimCodec}.
 */
class ClaimCodecTests {

	private static final Incarnation HOLDER = Incarnation.of(HostId.of("host1"), Long.MAX_VALUE);

	@Property(seed = "1", tries = 200)
	void decodeReadsWhatEncodeWrites(@ForAll long high, @ForAll long low, @ForAll long fingerprint, @ForAll long expiry,
			@ForAll @IntRange int generation) {
		Claim claim = new Claim(new KeyHash(high, low), fingerprint, HOLDER, expiry, generation);
		assertThat(ClaimCodec.decode(ClaimCodec.encode(HOLDER, List.of(claim, claim)))).containsExactly(claim, claim);
	}

	// Guards against a record that one host skips and another host fails on.
	@Example
	void unreadableRecordsHaveNoClaims() {
		byte[][] payloads = { {}, { 1, 2, 3 }, { 0x0a, 0x7f }, { 0x12, 0x02, 0x0a, 0x00 } };
		for (byte[] payload : payloads) {
			assertThat(ClaimCodec.decode(new LogRecord(7, 8, payload)).claims()).isEmpty();
		}
		assertThat(ClaimCodec.decode(ClaimCodec.encode(HOLDER, List.of()))).isEmpty();
	}

	@Example
	void aBatchHasOneHolder() {
		Claim other = new Claim(new KeyHash(1, 2), 3, Incarnation.of(HostId.of("host2"), 1), 4, 0);
		assertThatIllegalArgumentException().isThrownBy(() -> ClaimCodec.encode(HOLDER, List.of(other)));
	}

}
