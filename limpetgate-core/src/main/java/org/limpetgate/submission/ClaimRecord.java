package org.limpetgate.submission;

import java.util.List;

/**
 * A record of the claims stream.
 *
 * @param offset the position in the stream
 * @param appendTimeNanos when the platform stored it, by the platform's clock
 * @param claims the claims in the order of the record; empty for a marker or a record
 * that cannot be read, which every host skips alike
 */
public record ClaimRecord(long offset, long appendTimeNanos, List<Claim> claims) {

	public ClaimRecord {
		claims = List.copyOf(claims);
	}

}
