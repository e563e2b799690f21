package org.limpetgate.net.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.ErrorKind;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.platform.HostList;
import org.limpetgate.platform.HostListView;

/**
 * Client of the platform's host list. Thread-safe.
 */
public final class HttpHostList implements HostList, AutoCloseable {

	private final PlatformHttp http;

	private final InetSocketAddress address;

	private HttpHostList(PlatformHttp http, InetSocketAddress address) {
		this.http = http;
		this.address = address;
	}

	/**
	 * Returns a client. Connections are opened when they are needed.
	 * @param group the event loops, which stay open when the client is closed, not null
	 * @param address the address of the platform, not null
	 * @param settings the limits, not null
	 * @return the client, not null
	 */
	public static HttpHostList of(EventLoopGroup group, InetSocketAddress address, PlatformClientSettings settings) {
		return new HttpHostList(new PlatformHttp(group, settings, ErrorKind.PLATFORM_UNAVAILABLE), address);
	}

	@Override
	public CompletableFuture<HostListView> read() {
		HttpCall call = new HttpCall("GET", "/v1/hosts", Map.of(), new byte[0]);
		return this.http.send(this.address, call, Duration.ZERO, (reply) -> HostListCodec.decode(reply.body()));
	}

	@Override
	public void close() {
		this.http.close();
	}

}
