package org.limpetgate.host.operator;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;
import org.limpetgate.host.settings.Key;
import org.limpetgate.net.http.HttpCall;

/**
 * Signs the requests of operators and verifies their signatures.
 * <p>
 * The header {@code Authorization: Limpetgate-HMAC key=ID, time=MILLIS, mac=HEX} carries
 * an HMAC-SHA256 over the request, so that the secret is never sent, even if the
 * operators' endpoint is not on loopback. A replayed edit has no effect, since it has the
 * same edit id.
 */
public final class OperatorSignature {

	/** The header with the signature. */
	public static final String HEADER = "authorization";

	/** The header with the id of the edit. */
	public static final String EDIT_ID = "limpetgate-edit-id";

	/** Largest accepted difference between the signing time and the clock of the host. */
	public static final Duration MAX_AGE = Duration.ofSeconds(60);

	private static final String ALGORITHM = "HmacSHA256";

	private static final int REQUEST_ID_CHARS = 32;

	private static final Pattern HEADER_PATTERN = Pattern
		.compile("Limpetgate-HMAC key=([^, ]{1,128}), time=(\\d{1,15}), mac=([0-9a-f]{64})");

	private OperatorSignature() {
	}

	/**
	 * Signs a request.
	 * @param key the operator's key, not null
	 * @param call the request, not null
	 * @param nowMillis the current time in milliseconds since the Unix epoch
	 * @return the value of {@link #HEADER}, not null
	 */
	public static String sign(Key key, HttpCall call, long nowMillis) {
		return "Limpetgate-HMAC key=" + key.id() + ", time=" + nowMillis + ", mac="
				+ HexFormat.of().formatHex(mac(key, call, nowMillis));
	}

	/**
	 * Checks the signature of a request.
	 * @param keys the configured keys, not null
	 * @param call the request, not null
	 * @param nowMillis the current time in milliseconds since the Unix epoch
	 * @return the id of the key, which names the operator
	 * @throws DispatchException with {@link ErrorKind#NOT_ADMITTED} if the request has no
	 * valid signature
	 */
	public static String verify(List<Key> keys, HttpCall call, long nowMillis) {
		Matcher matcher = HEADER_PATTERN.matcher(call.header(HEADER));
		if (!matcher.matches()) {
			throw notAdmitted("the Authorization header is missing or malformed");
		}
		long time = Long.parseLong(matcher.group(2));
		Optional<Key> key = keys.stream().filter((candidate) -> candidate.id().equals(matcher.group(1))).findFirst();
		byte[] mac = HexFormat.of().parseHex(matcher.group(3));
		if (key.isEmpty() || !MessageDigest.isEqual(mac, mac(key.get(), call, time))) {
			throw notAdmitted("the signature does not match the request or the key is not configured");
		}
		if (Math.abs(nowMillis - time) > MAX_AGE.toMillis()) {
			throw notAdmitted("the signing time is " + (nowMillis - time)
					+ " ms behind the clock of this host; the limit is " + MAX_AGE.toMillis() + " ms");
		}
		return key.get().id();
	}

	/**
	 * Returns an id that is the same for a request and its replays, for use as the id of
	 * an edit that carries none.
	 * @param call a request whose signature is valid, not null
	 * @return the id, not null
	 */
	public static String requestId(HttpCall call) {
		String header = call.header(HEADER);
		int mac = header.lastIndexOf('=') + 1;
		return header.substring(mac, mac + REQUEST_ID_CHARS);
	}

	private static byte[] mac(Key key, HttpCall call, long timeMillis) {
		try {
			String body = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(call.body()));
			String signed = String.join("\n", call.method(), call.target(), Long.toString(timeMillis),
					call.header("if-match"), call.header("if-none-match"), call.header(EDIT_ID), body);
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
			return mac.doFinal(signed.getBytes(StandardCharsets.UTF_8));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the Java runtime does not support HMAC-SHA256", ex);
		}
	}

	private static DispatchException notAdmitted(String detail) {
		return DispatchException.of(ErrorKind.NOT_ADMITTED, Outcome.NOT_RUN, detail);
	}

}
