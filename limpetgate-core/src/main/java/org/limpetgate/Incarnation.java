package org.limpetgate;

import java.util.Objects;

/**
 * One process lifetime of an entry host, from its start to its end.
 * <p>
 * Each restart of a host has a larger number. Incarnations of the same host share no
 * state, since hosts store nothing on disk.
 *
 * @param host the host
 * @param number the start time of the process, in nanoseconds since the Unix epoch
 */
public record Incarnation(HostId host, long number) {

	public Incarnation {
		Objects.requireNonNull(host, "host");
	}

	/**
	 * Returns an incarnation.
	 * @param host the host, not null
	 * @param number the start time of the process, in nanoseconds since the Unix epoch
	 * @return the incarnation, not null
	 */
	public static Incarnation of(HostId host, long number) {
		return new Incarnation(host, number);
	}

	/**
	 * Parses the format of {@link #toString()}.
	 * @param text the host and the number, separated by {@code @}
	 * @return the incarnation, not null
	 * @throws IllegalArgumentException if the text has another format
	 */
	public static Incarnation parse(String text) {
		int separator = text.lastIndexOf('@');
		if (separator < 0) {
			throw new IllegalArgumentException("'" + text + "' does not have the form host@number");
		}
		return of(HostId.of(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
	}

	/**
	 * Tests whether this is a later incarnation of the same host.
	 * @param other the incarnation to compare with, not null
	 * @return true if the hosts are equal and this number is larger
	 */
	public boolean isLaterThan(Incarnation other) {
		return this.host.equals(other.host) && this.number > other.number;
	}

	@Override
	public String toString() {
		return this.host + "@" + this.number;
	}

}
