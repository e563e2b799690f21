package org.limpetgate.net.peer;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import org.limpetgate.HostId;
import org.limpetgate.net.Listeners;

/**
 * Accepts the links of other entry hosts.
 * <p>
 * Only hosts that prove possession of a configured key are accepted; others receive a
 * refusal with the reason. Thread-safe.
 */
public final class PeerServer {

	private final PeerSettings settings;

	private final PeerHandler handler;

	private final Set<InboundConnection> connections = ConcurrentHashMap.newKeySet();

	private final Set<HostId> blockedHosts = ConcurrentHashMap.newKeySet();

	private final AtomicLong linkNumbers = new AtomicLong();

	private Channel listener;

	private PeerServer(PeerSettings settings, PeerHandler handler) {
		this.settings = settings;
		this.handler = handler;
	}

	/**
	 * Starts a server.
	 * @param group the event loops, not shut down by the server
	 * @param address the address to listen on; port 0 chooses a free port
	 * @param settings the settings, not null
	 * @param handler the handler, not null
	 * @return the listening server, not null
	 * @throws UncheckedIOException if the address cannot be used
	 */
	public static PeerServer start(EventLoopGroup group, InetSocketAddress address, PeerSettings settings,
			PeerHandler handler) {
		PeerServer server = new PeerServer(settings, handler);
		server.listener = Listeners.open(group, address, server::accept);
		return server;
	}

	private void accept(SocketChannel channel) {
		channel.config().setWriteBufferWaterMark(this.settings.limits().waterMark());
		InboundConnection connection = new InboundConnection(this, this.settings);
		connection.install(channel, (this.settings.tls() != null) ? this.settings.tls().server() : null);
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(connection));
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address with the port in use, not null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/** Stops listening and closes all links. */
	public void close() {
		this.listener.close().awaitUninterruptibly();
		this.connections.forEach((connection) -> connection.runOnLoop(() -> connection.close("the host is closing")));
	}

	/**
	 * Closes the links of a host and accepts no new ones, to simulate a network failure
	 * in tests.
	 * @param host the host, not null
	 */
	public void block(HostId host) {
		this.blockedHosts.add(host);
		this.connections.forEach((connection) -> connection.runOnLoop(() -> {
			if (connection.peer() != null && connection.peer().host().equals(host)) {
				connection.close("the link is blocked");
			}
		}));
	}

	/**
	 * Accepts links of a host again after {@link #block}.
	 * @param host the host, not null
	 */
	public void unblock(HostId host) {
		this.blockedHosts.remove(host);
	}

	// Leaves only the newest link of a host, since the host has given up the earlier
	// ones,
	// but messages on them may still arrive.
	void closeSuperseded(InboundConnection authenticated) {
		HostId host = authenticated.peer().host();
		for (InboundConnection other : this.connections) {
			if (other != authenticated && other.peer() != null && other.peer().host().equals(host)) {
				InboundConnection earlier = (other.number() < authenticated.number()) ? other : authenticated;
				earlier.runOnLoop(() -> earlier.close("a newer link of the host supersedes this one"));
			}
		}
	}

	long nextLinkNumber() {
		return this.linkNumbers.incrementAndGet();
	}

	PeerHandler handler() {
		return this.handler;
	}

	boolean isBlocked(HostId host) {
		return this.blockedHosts.contains(host);
	}

	boolean isOverLimit() {
		return this.connections.size() > this.settings.limits().maxConnections();
	}

}
