package org.limpetgate.submission;

import java.util.List;

/**
 * A record of the claims stream.
 *
 * @param offset the position in the stream
 * @param appendTimeNanos when the platform stored it, by the platform's clock, in
 * nanoseconds since the Unix epoch
 * @param claims the claims in the order of the record; empty for a marker and for an
 * unreadable record, which all hosts skip
 */
public record ClaimRecord(long offset, long appendTimeNanos, List<Claim> claims) {

	public ClaimRecord {
		claims = List.copyOf(claims);
	}

}
