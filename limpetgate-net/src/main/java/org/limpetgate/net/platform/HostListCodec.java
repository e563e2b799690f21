package org.limpetgate.net.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.UpstreamId;
import org.limpetgate.platform.HostListView;
import org.limpetgate.platform.ListedHost;
import org.limpetgate.platform.ListedUpstream;

/**
 * The JSON form of the host list, as {@code docs/platform-protocol.md} describes it.
 * <p>
 * All fields are required, so that an incomplete list is never read as a shorter one.
 * Unknown fields are ignored, so that the platform may add fields.
 */
public final class HostListCodec {

	private static final ObjectMapper JSON = new ObjectMapper()
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private HostListCodec() {
	}

	/**
	 * Encodes a list.
	 * @param view the list, not null
	 * @return the JSON, not null
	 */
	public static byte[] encode(HostListView view) {
		List<Entry> hosts = view.hosts()
			.stream()
			.map((host) -> new Entry(host.id().value(), host.dataCentre().value(), host.address(), host.port(),
					host.leaving()))
			.toList();
		List<Entry> upstreams = view.upstreams()
			.stream()
			.map((upstream) -> new Entry(upstream.id().value(), upstream.dataCentre().value(), upstream.address(),
					upstream.port(), upstream.leaving()))
			.toList();
		try {
			return JSON
				.writeValueAsBytes(new Document(TimeUnit.NANOSECONDS.toMillis(view.ageNanos()), hosts, upstreams));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write the host list as JSON", ex);
		}
	}

	/**
	 * Decodes a list.
	 * @param body the JSON, not null
	 * @return the list, not null
	 * @throws IllegalArgumentException if the JSON is malformed or a field is missing
	 */
	public static HostListView decode(byte[] body) {
		Document document;
		try {
			document = JSON.readValue(body, Document.class);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the host list is malformed: " + ex.getMessage(), ex);
		}
		return new HostListView(document.hosts().stream().map(Entry::toHost).toList(),
				document.upstreams().stream().map(Entry::toUpstream).toList(),
				TimeUnit.MILLISECONDS.toNanos(document.ageMillis()));
	}

	/**
	 * The JSON document.
	 *
	 * @param ageMillis the age of the list in milliseconds
	 * @param hosts the entry hosts
	 * @param upstreams the upstreams
	 */
	private record Document(long ageMillis, List<Entry> hosts, List<Entry> upstreams) {
	}

	/**
	 * An entry host or an upstream.
	 *
	 * @param id the id
	 * @param dataCentre the data centre
	 * @param address the IP address
	 * @param port the port
	 * @param leaving whether the host or upstream is leaving
	 */
	private record Entry(String id, String dataCentre, String address, int port, boolean leaving) {

		private ListedHost toHost() {
			return new ListedHost(HostId.of(this.id), DataCentreId.of(this.dataCentre), this.address, this.port,
					this.leaving);
		}

		private ListedUpstream toUpstream() {
			return new ListedUpstream(UpstreamId.of(this.id), DataCentreId.of(this.dataCentre), this.address, this.port,
					this.leaving);
		}

	}

}
