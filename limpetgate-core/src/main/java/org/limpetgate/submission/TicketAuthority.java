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
 * Issues and verifies tickets with secrets that all entry hosts share.
 * <p>
 * Tickets are signed with the first secret, the current one, and verified with all
 * secrets. To rotate a secret without a restart, add the new one after the current one on
 * all hosts, then move it to the front on all hosts, then remove the old one. At each
 * step every host accepts the tickets of all others. A ticket and a submission that uses
 * it may each last for the maximum time until expiry, so the old secret must remain
 * configured for twice that time after its last use for signing.
 * <p>
 * The authentication code covers the caller, so that only the caller that requested a
 * ticket can use it. Not thread-safe.
 */
public final class TicketAuthority {

	/** The maximum number of tickets in a batch. */
	public static final int MAX_BATCH = 1000;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int CODE_BYTES = 16;

	private static final int MIN_SECRET_BYTES = 16;

	private final Incarnation self;

	private List<Mac> macs;

	private long serial;

	/**
	 * Creates an authority with one secret.
	 * @param self the incarnation that issues tickets, not null
	 * @param secret the shared secret, at least 16 bytes
	 */
	public TicketAuthority(Incarnation self, byte[] secret) {
		this(self, List.of(secret));
	}

	/**
	 * Creates an authority.
	 * @param self the incarnation that issues tickets, not null
	 * @param secrets the shared secrets, the current one first, at least one, each at
	 * least 16 bytes
	 */
	public TicketAuthority(Incarnation self, List<byte[]> secrets) {
		this.self = self;
		replaceSecrets(secrets);
	}

	/**
	 * Replaces all secrets. To be called on the control thread. On failure the current
	 * secrets remain in use.
	 * @param secrets the shared secrets, the current one first, at least one, each at
	 * least 16 bytes
	 * @throws IllegalArgumentException if there is no secret or one is too short
	 */
	public void replaceSecrets(List<byte[]> secrets) {
		if (secrets.isEmpty()) {
			throw new IllegalArgumentException("there is no ticket secret; configure at least one");
		}
		this.macs = secrets.stream().map(TicketAuthority::mac).toList();
	}

	private static Mac mac(byte[] secret) {
		if (secret.length < MIN_SECRET_BYTES) {
			throw new IllegalArgumentException("the ticket secret is too short; use at least 16 bytes");
		}
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(secret, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the Java runtime has no " + ALGORITHM + "; use a complete runtime", ex);
		}
	}

	/**
	 * Issues a batch of tickets.
	 * @param caller the caller that may use them, not null
	 * @param count the number, 1 to 1000
	 * @param expiryNanos the time until which they are valid, in nanoseconds since the
	 * Unix epoch
	 * @return the tickets, not null
	 * @throws DispatchException with {@link ErrorKind#INVALID_SUBMISSION} if the number
	 * is out of range
	 */
	public List<Ticket> issue(CallerId caller, int count, long expiryNanos) {
		if (count < 1 || count > MAX_BATCH) {
			throw DispatchException.of(ErrorKind.INVALID_SUBMISSION, Outcome.NOT_RUN,
					"count " + count + " is not within 1 to " + MAX_BATCH);
		}
		List<Ticket> batch = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			Ticket unsigned = new Ticket(this.self, ++this.serial, expiryNanos, "");
			batch.add(new Ticket(this.self, this.serial, expiryNanos, code(this.macs.get(0), unsigned, caller)));
		}
		return batch;
	}

	/**
	 * Verifies a ticket.
	 * @param caller the caller that uses it, not null
	 * @param key a key with the prefix of a ticket, not null
	 * @return the ticket, null if it was forged, altered, issued to another caller or
	 * signed with a secret that this host does not have
	 */
	public Ticket verify(CallerId caller, SubmissionKey key) {
		try {
			Ticket ticket = Ticket.parse(key);
			byte[] code = ticket.code().getBytes(StandardCharsets.US_ASCII);
			boolean genuine = this.macs.stream()
				.map((mac) -> code(mac, ticket, caller).getBytes(StandardCharsets.US_ASCII))
				.anyMatch((expected) -> MessageDigest.isEqual(expected, code));
			return (genuine && ticket.toKey().equals(key)) ? ticket : null;
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	private static String code(Mac mac, Ticket ticket, CallerId caller) {
		mac.update(caller.value().getBytes(StandardCharsets.US_ASCII));
		mac.update((byte) 0);
		byte[] authenticationCode = mac.doFinal(ticket.signedPart().getBytes(StandardCharsets.US_ASCII));
		return Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(authenticationCode, CODE_BYTES));
	}

}
