package org.limpetgate.net.platform;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.limpetgate.DataCentreId;
import org.limpetgate.ErrorKind;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;
import org.limpetgate.platform.HostList;
import org.limpetgate.platform.HostListView;

/**
 * Client of the platform's host list.
 * <p>
 * Each request names the version of the cached list, so that the response to an unchanged
 * list has only a few bytes: the full list of a large fleet once a second would exceed
 * the control traffic allowed per host. Thread-safe.
 */
public final class HttpHostList implements HostList, AutoCloseable {

	/** The header with the version of the list. */
	public static final String VERSION_HEADER = "host-list-version";

	/** The header with the age of the list in milliseconds. */
	public static final String AGE_HEADER = "host-list-age-millis";

	private final PlatformClient http;

	private final InetSocketAddress address;

	private final String filter;

	private volatile CachedList cached = new CachedList("", null);

	private HttpHostList(PlatformClient http, InetSocketAddress address, String filter) {
		this.http = http;
		this.address = address;
		this.filter = filter;
	}

	/**
	 * Returns a client. Connections are opened when they are needed.
	 * @param group the event loops, which stay open when the client is closed, not null
	 * @param address the address of the platform, not null
	 * @param settings the limits, not null
	 * @return the client, not null
	 */
	public static HttpHostList of(EventLoopGroup group, InetSocketAddress address, PlatformClientSettings settings) {
		return new HttpHostList(new PlatformClient(group, settings, ErrorKind.PLATFORM_UNAVAILABLE), address, "");
	}

	/**
	 * Returns a client that reads all entry hosts, but the upstreams of one data centre
	 * only.
	 * @param group the event loops, which stay open when the client is closed, not null
	 * @param address the address of the platform, not null
	 * @param settings the limits, not null
	 * @param dataCentre the data centre, not null
	 * @return the client, not null
	 */
	public static HttpHostList withUpstreamsOf(EventLoopGroup group, InetSocketAddress address,
			PlatformClientSettings settings, DataCentreId dataCentre) {
		return new HttpHostList(new PlatformClient(group, settings, ErrorKind.PLATFORM_UNAVAILABLE), address,
				"&upstreamsOf=" + PlatformReplies.encode(dataCentre.value()));
	}

	@Override
	public CompletableFuture<HostListView> read() {
		CachedList previous = this.cached;
		String target = "/v1/hosts?version=" + PlatformReplies.encode(previous.version()) + this.filter;
		HttpCall call = new HttpCall("GET", target, Map.of(), new byte[0]);
		return this.http.send(this.address, call, Duration.ZERO, (reply) -> read(reply, previous));
	}

	private HostListView read(HttpReply reply, CachedList previous) {
		String version = reply.header(VERSION_HEADER);
		if (!version.isEmpty() && version.equals(previous.version()) && reply.body().length == 0) {
			long ageNanos = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(reply.header(AGE_HEADER)));
			return new HostListView(previous.view().hosts(), previous.view().upstreams(), ageNanos);
		}
		HostListView view = HostListCodec.decode(reply.body());
		this.cached = new CachedList(version, view);
		return view;
	}

	@Override
	public void close() {
		this.http.close();
	}

	private record CachedList(String version, HostListView view) {
	}

}
