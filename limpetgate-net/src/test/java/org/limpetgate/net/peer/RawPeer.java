package org.limpetgate.net.peer;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

import javax.crypto.SecretKey;
import javax.crypto.spec.SecretKeySpec;

import com.google.protobuf.ByteString;
import org.limpetgate.proto.Hello;
import org.limpetgate.proto.PeerFrame;

/**
 * A blocking side of a link that sends frames unchecked.
 */
final class RawPeer implements Closeable {

	/** Fails a test that would hang; no assertion depends on it. */
	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private final Socket socket;

	private final DataInputStream input;

	private final DataOutputStream output;

	RawPeer(Socket socket) throws IOException {
		this.socket = socket;
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.input = new DataInputStream(socket.getInputStream());
		this.output = new DataOutputStream(socket.getOutputStream());
	}

	static RawPeer open(InetSocketAddress address) throws IOException {
		return new RawPeer(new Socket(address.getAddress(), address.getPort()));
	}

	void send(int length, byte[] bytes) throws IOException {
		this.output.writeInt(length);
		this.output.write(bytes);
		this.output.flush();
	}

	void send(PeerFrame.Builder frame) throws IOException {
		byte[] bytes = frame.build().toByteArray();
		send(bytes.length, bytes);
	}

	void send(Hello hello) throws IOException {
		send(frame().setHello(hello));
	}

	static PeerFrame.Builder frame() {
		return PeerFrame.newBuilder().setProtocolVersion(PeerFrames.PROTOCOL_VERSION);
	}

	/**
	 * Sends the proof of the accepting side.
	 * @param self the identity to claim
	 * @param keyBytes the key
	 * @throws IOException if the connection breaks
	 */
	void sendProof(PeerIdentity self, byte[] keyBytes) throws IOException {
		SecretKey key = new SecretKeySpec(keyBytes, "HmacSHA256");
		Hello client = read().getHello();
		Hello server = PeerProof.newHello(self, client.getKeyId());
		ByteString mac = PeerProof.mac(key, PeerProof.Role.SERVER, client, server);
		send(server.toBuilder().setMac(mac).build());
	}

	/**
	 * Performs the handshake as the accepting side.
	 * @param self the identity to claim
	 * @param keyBytes the key
	 * @throws IOException if the connection breaks
	 */
	void acceptHandshake(PeerIdentity self, byte[] keyBytes) throws IOException {
		sendProof(self, keyBytes);
		read();
		send(Hello.getDefaultInstance());
	}

	/**
	 * Performs the handshake as the opening side.
	 * @param self the identity to claim
	 * @param keyId the id of the key
	 * @param keyBytes the key
	 * @return the time of the accepting side's clock in its last frame, in nanoseconds
	 * @throws IOException if the connection breaks
	 */
	long openHandshake(PeerIdentity self, String keyId, byte[] keyBytes) throws IOException {
		Hello client = PeerProof.newHello(self, keyId);
		send(client);
		sendClientProof(client, read().getHello(), keyBytes);
		return read().getAcceptorClockNanos();
	}

	void sendClientProof(Hello client, Hello server, byte[] keyBytes) throws IOException {
		SecretKey key = new SecretKeySpec(keyBytes, "HmacSHA256");
		send(client.toBuilder().setMac(PeerProof.mac(key, PeerProof.Role.CLIENT, client, server)).build());
	}

	// Reads frames until the peer closes the connection.
	void awaitEnd() throws IOException {
		this.input.readAllBytes();
	}

	PeerFrame read() throws IOException {
		return PeerFrame.parseFrom(this.input.readNBytes(this.input.readInt()));
	}

	boolean isAtEnd() throws IOException {
		return this.input.read() < 0;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
