package org.limpetgate.scheduling;

/**
 * A number that the owner of a worker sends with each order, to fence off earlier owners.
 * A worker rejects orders with a number lower than the highest one it has received.
 * <p>
 * A token combines the time of its creation in milliseconds with bits of the host number,
 * so that no two hosts ever use the same one. Immutable and thread-safe.
 *
 * @param value the number; 0 is lower than every created token
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** The token of a host that owns nothing. */
	public static final FencingToken NONE = new FencingToken(0);

	// 2026-01-01T00:00:00Z; keeps tokens below 2^53 until 2030, so that readers that
	// store numbers as doubles keep them exact.
	private static final long EPOCH_MILLIS = 1_767_225_600_000L;

	private static final int HOST_BITS = 16;

	/**
	 * Creates a token.
	 * @param nowNanos the current time, nanoseconds since the Unix epoch
	 * @param hostNumber a number of which the low 16 bits differ between hosts
	 * @param above a token that the new one must exceed, not null
	 * @return the token, not null
	 */
	public static FencingToken create(long nowNanos, int hostNumber, FencingToken above) {
		long millis = Math.max(nowNanos / 1_000_000 - EPOCH_MILLIS, (above.value >> HOST_BITS) + 1);
		return new FencingToken((Math.max(1, millis) << HOST_BITS) | (hostNumber & 0xffff));
	}

	/**
	 * Returns the token of the same host that would have been created later.
	 * @param millis how much later, in milliseconds
	 * @return the token, not null
	 */
	public FencingToken plusMillis(long millis) {
		return new FencingToken(this.value + (millis << HOST_BITS));
	}

	/**
	 * Tests whether this token is the token of a host that owns nothing.
	 * @return true if this is {@link #NONE}
	 */
	public boolean isNone() {
		return this.value == 0;
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

}
