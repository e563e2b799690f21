package org.limpetgate.standin.cluster;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy with one target, which can block the connections of a source address to
 * simulate a network partition.
 */
final class LinkProxy implements Closeable {

	private final ServerSocket listener;

	private final Set<InetAddress> blockedSources = ConcurrentHashMap.newKeySet();

	private final Map<Socket, InetAddress> connections = new ConcurrentHashMap<>();

	private volatile InetSocketAddress target;

	LinkProxy(String address) throws IOException {
		this.listener = new ServerSocket(0, 50, InetAddress.getByName(address));
		start(this::acceptAll);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	void forwardTo(InetSocketAddress newTarget) {
		this.target = newTarget;
	}

	void block(InetAddress source) {
		this.blockedSources.add(source);
		this.connections.forEach((socket, from) -> {
			if (from.equals(source)) {
				close(socket);
			}
		});
	}

	void unblock(InetAddress source) {
		this.blockedSources.remove(source);
	}

	private void acceptAll() {
		try {
			while (true) {
				Socket client = this.listener.accept();
				start(() -> forward(client));
			}
		}
		catch (IOException ex) {
			// The proxy was closed.
		}
	}

	private void forward(Socket client) {
		if (this.target == null || this.blockedSources.contains(client.getInetAddress())) {
			close(client);
			return;
		}
		try (Socket server = new Socket(this.target.getAddress(), this.target.getPort())) {
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			this.connections.put(client, client.getInetAddress());
			start(() -> copy(server, client));
			copy(client, server);
		}
		catch (IOException ex) {
			// The target is down; the client connection is closed below.
		}
		finally {
			this.connections.remove(client);
			close(client);
		}
	}

	private static void copy(Socket from, Socket to) {
		byte[] buffer = new byte[16 * 1024];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int read = in.read(buffer);
			while (read >= 0) {
				out.write(buffer, 0, read);
				read = in.read(buffer);
			}
		}
		catch (IOException ex) {
			// One end was closed; the other is closed below.
		}
		finally {
			LinkProxy.close(from);
			LinkProxy.close(to);
		}
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "link-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.connections.keySet().forEach(LinkProxy::close);
	}

}
