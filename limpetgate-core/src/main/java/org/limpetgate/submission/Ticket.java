package org.limpetgate.submission;

import java.util.Objects;

import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.SubmissionKey;

/**
 * A submission key issued by an incarnation of an entry host, which alone may start its
 * job.
 * <p>
 * The key has the form {@code ticket:host:number:serial:expiry:code} with numbers in base
 * 36. {@link TicketAuthority} issues and verifies tickets. Immutable and thread-safe.
 *
 * @param issuer the incarnation that issued the ticket and may start its job
 * @param serial the serial number within the incarnation
 * @param expiryNanos the time until which the ticket is valid, in nanoseconds since the
 * Unix epoch
 * @param code the authentication code
 */
public record Ticket(Incarnation issuer, long serial, long expiryNanos, String code) {

	private static final String PREFIX = "ticket:";

	private static final int PARTS = 4;

	private static final int RADIX = 36;

	public Ticket {
		Objects.requireNonNull(issuer, "issuer");
		Objects.requireNonNull(code, "code");
	}

	/**
	 * Tests whether a key has the prefix of a ticket, without verifying it.
	 * @param key the key, not null
	 * @return true if the key is reserved for tickets
	 */
	public static boolean isTicket(SubmissionKey key) {
		return key.value().startsWith(PREFIX);
	}

	/**
	 * Parses a ticket without verifying its authentication code.
	 * @param key the key, not null
	 * @return the ticket, not null
	 * @throws IllegalArgumentException if the key does not have the form of a ticket
	 */
	public static Ticket parse(SubmissionKey key) {
		String[] parts = new String[PARTS];
		String remainder = key.value();
		for (int i = PARTS - 1; i >= 0; i--) {
			int separator = remainder.lastIndexOf(':');
			if (separator < PREFIX.length()) {
				throw new IllegalArgumentException("'" + key + "' does not have the form " + PREFIX + "...");
			}
			parts[i] = remainder.substring(separator + 1);
			remainder = remainder.substring(0, separator);
		}
		Incarnation issuer = Incarnation.of(HostId.of(remainder.substring(PREFIX.length())),
				Long.parseLong(parts[0], RADIX));
		return new Ticket(issuer, Long.parseLong(parts[1], RADIX), Long.parseLong(parts[2], RADIX), parts[3]);
	}

	/**
	 * Returns the submission key that represents the ticket.
	 * @return the key, not null
	 */
	public SubmissionKey toKey() {
		return SubmissionKey.of(signedPart() + ":" + this.code);
	}

	String signedPart() {
		return PREFIX + this.issuer.host() + ":" + Long.toString(this.issuer.number(), RADIX) + ":"
				+ Long.toString(this.serial, RADIX) + ":" + Long.toString(this.expiryNanos, RADIX);
	}

}
