package org.limpetgate.net.peer;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.Objects;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;

/**
 * TLS for links, with certificates of a private certificate authority on both sides.
 * <p>
 * Host names are not verified, since hosts are addressed by IP address and prove their id
 * with a key in the handshake that follows. Immutable and thread-safe.
 *
 * @param server the context for accepted connections
 * @param client the context for opened connections
 */
public record PeerTls(SslContext server, SslContext client) {

	public PeerTls {
		Objects.requireNonNull(server, "server");
		Objects.requireNonNull(client, "client");
	}

	/**
	 * Returns contexts that require a certificate of the authority from the other side.
	 * @param certificateChain the certificate of this host and its chain, in PEM
	 * @param privateKey the private key of the certificate, in PEM (PKCS #8, unencrypted)
	 * @param authority the certificate of the private authority, in PEM
	 * @return the contexts, not null
	 * @throws IllegalArgumentException if certificates or key cannot be used
	 */
	public static PeerTls of(byte[] certificateChain, byte[] privateKey, byte[] authority) {
		try {
			SslContext server = SslContextBuilder.forServer(stream(certificateChain), stream(privateKey))
				.sslProvider(SslProvider.JDK)
				.trustManager(stream(authority))
				.clientAuth(ClientAuth.REQUIRE)
				.build();
			SslContext client = SslContextBuilder.forClient()
				.sslProvider(SslProvider.JDK)
				.keyManager(stream(certificateChain), stream(privateKey))
				.trustManager(stream(authority))
				.endpointIdentificationAlgorithm(null)
				.build();
			return new PeerTls(server, client);
		}
		catch (SSLException ex) {
			throw new IllegalArgumentException("the certificates or the key for peer TLS cannot be used", ex);
		}
	}

	private static InputStream stream(byte[] bytes) {
		return new ByteArrayInputStream(bytes);
	}

}
