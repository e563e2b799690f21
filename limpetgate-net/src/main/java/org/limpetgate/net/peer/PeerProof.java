package org.limpetgate.net.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.SecretKey;

import com.google.protobuf.ByteString;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.IncarnationId;

/**
 * The proof in the handshake that a side possesses the shared key.
 * <p>
 * Each side sends a nonce and then an HMAC-SHA256 over its role and over both hellos. The
 * nonces prevent replay of an earlier handshake, the role prevents reflection of the
 * other side's own proof, and the hellos bind the proof to both incarnations.
 */
final class PeerProof {

	static final int NONCE_BYTES = 32;

	private static final SecureRandom NONCES = new SecureRandom();

	private PeerProof() {
	}

	static Hello newHello(PeerIdentity self, String keyId) {
		byte[] nonce = new byte[NONCE_BYTES];
		NONCES.nextBytes(nonce);
		return Hello.newBuilder()
			.setIncarnation(
					IncarnationId.newBuilder().setHost(self.host().value()).setNumber(self.incarnation().number()))
			.setDataCentre(self.dataCentre().value())
			.setNonce(ByteString.copyFrom(nonce))
			.setKeyId(keyId)
			.build();
	}

	/**
	 * Returns the identity that a hello claims.
	 * @param hello the hello
	 * @return the identity
	 * @throws IllegalArgumentException if an id or the nonce is malformed
	 */
	static PeerIdentity claimedIdentity(Hello hello) {
		if (hello.getNonce().size() != NONCE_BYTES) {
			throw new IllegalArgumentException(
					"the nonce has " + hello.getNonce().size() + " bytes, not " + NONCE_BYTES);
		}
		return new PeerIdentity(
				Incarnation.of(HostId.of(hello.getIncarnation().getHost()), hello.getIncarnation().getNumber()),
				DataCentreId.of(hello.getDataCentre()));
	}

	static ByteString mac(SecretKey key, Role prover, Hello client, Hello server) {
		try {
			Mac mac = Mac.getInstance("HmacSHA256");
			mac.init(key);
			update(mac, "limpetgate-peer-" + PeerFrames.PROTOCOL_VERSION);
			update(mac, prover.name());
			update(mac, client);
			update(mac, server);
			return ByteString.copyFrom(mac.doFinal());
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HmacSHA256 is not available; use a complete Java runtime", ex);
		}
	}

	static boolean isValid(ByteString proof, SecretKey key, Role prover, Hello client, Hello server) {
		return MessageDigest.isEqual(proof.toByteArray(), mac(key, prover, client, server).toByteArray());
	}

	private static void update(Mac mac, Hello hello) {
		update(mac, hello.getIncarnation().getHost());
		mac.update(ByteBuffer.allocate(Long.BYTES).putLong(hello.getIncarnation().getNumber()).flip());
		update(mac, hello.getDataCentre());
		update(mac, hello.getKeyId());
		update(mac, hello.getNonce().toByteArray());
	}

	private static void update(Mac mac, String text) {
		update(mac, text.getBytes(StandardCharsets.UTF_8));
	}

	// The length prefix makes the boundaries between fields unambiguous.
	private static void update(Mac mac, byte[] bytes) {
		mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
		mac.update(bytes);
	}

	/** The side that sends a proof. */
	enum Role {

		/** The side that opened the connection. */
		CLIENT,

		/** The side that accepted the connection. */
		SERVER

	}

}
