package org.limpetgate.submission;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.limpetgate.CallerId;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Incarnation;
import org.limpetgate.Outcome;
import org.limpetgate.SubmissionKey;

/**
 * Issues and checks tickets with a secret that all entry hosts share.
 * <p>
 * The authentication code covers the caller, so that a ticket is of use only to the
 * caller that asked for it. Not thread-safe.
 */
public final class TicketAuthority {

	/** The most tickets in a block. */
	public static final int MAX_BLOCK = 1000;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int CODE_BYTES = 16;

	private static final int MIN_SECRET_BYTES = 16;

	private final Incarnation self;

	private final Mac mac;

	private long serial;

	/**
	 * Creates an authority.
	 * @param self the incarnation that issues, not null
	 * @param secret the shared secret, at least 16 bytes
	 */
	public TicketAuthority(Incarnation self, byte[] secret) {
		if (secret.length < MIN_SECRET_BYTES) {
			throw new IllegalArgumentException("the ticket secret is too short; use at least 16 bytes");
		}
		this.self = self;
		try {
			this.mac = Mac.getInstance(ALGORITHM);
			this.mac.init(new SecretKeySpec(secret, ALGORITHM));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the Java runtime has no " + ALGORITHM + "; use a complete runtime", ex);
		}
	}

	/**
	 * Issues a block of tickets.
	 * @param caller the caller that may use them, not null
	 * @param count the number, 1 to 1000
	 * @param expiryNanos the time until which they may be used, in nanoseconds since the
	 * Unix epoch
	 * @return the tickets, not null
	 * @throws DispatchException with {@link ErrorKind#INVALID_SUBMISSION} if the number
	 * is out of range
	 */
	public List<Ticket> issue(CallerId caller, int count, long expiryNanos) {
		if (count < 1 || count > MAX_BLOCK) {
			throw DispatchException.of(ErrorKind.INVALID_SUBMISSION, Outcome.NOT_RUN,
					"count " + count + " is not within 1 to " + MAX_BLOCK);
		}
		List<Ticket> block = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			Ticket unsigned = new Ticket(this.self, ++this.serial, expiryNanos, "");
			block.add(new Ticket(this.self, this.serial, expiryNanos, code(unsigned, caller)));
		}
		return block;
	}

	/**
	 * Checks a ticket.
	 * @param caller the caller that uses it, not null
	 * @param key the key that has the form of a ticket, not null
	 * @return the genuine ticket, null if it was forged, altered or issued to another
	 * caller
	 */
	public Ticket check(CallerId caller, SubmissionKey key) {
		try {
			Ticket ticket = Ticket.parse(key);
			byte[] expected = code(ticket, caller).getBytes(StandardCharsets.US_ASCII);
			boolean genuine = MessageDigest.isEqual(expected, ticket.code().getBytes(StandardCharsets.US_ASCII));
			return (genuine && ticket.toKey().equals(key)) ? ticket : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private String code(Ticket ticket, CallerId caller) {
		this.mac.update(caller.value().getBytes(StandardCharsets.US_ASCII));
		this.mac.update((byte) 0);
		byte[] full = this.mac.doFinal(ticket.signedPart().getBytes(StandardCharsets.US_ASCII));
		return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(full, CODE_BYTES));
	}

}
