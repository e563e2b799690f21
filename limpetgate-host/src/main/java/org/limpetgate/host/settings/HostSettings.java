package org.limpetgate.host.settings;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.json.JsonResult;

/**
 * The settings of an entry host. While the host runs, only its keys can be replaced.
 * <p>
 * Immutable and thread-safe.
 *
 * @param host the id of the host
 * @param region the region, empty if there is one only
 * @param dataCentre the data centre of the host
 * @param dataCentres all configured data centres, over which submission keys are
 * distributed; the same list at every host
 * @param size the relative size of the host, the weight of its share
 * @param callers where the host listens for callers
 * @param operators where it listens for operators
 * @param peers where it listens for other entry hosts
 * @param peerHosts the entry hosts; an entry for this host is the endpoint that it
 * advertises to the others
 * @param platform the addresses of the platform, in order of preference
 * @param keys the keys of the entry hosts, for links between them and for tickets; the
 * first one signs, all are accepted
 * @param operatorKeys the keys of the operators; the id of a key names its operator
 * @param limits limits on the requests of callers
 * @param timings the timings of the protocol
 * @param seed the seed of random choices, empty for a different one at each start
 * @param logFile the destination of log lines
 */
public record HostSettings(HostId host, String region, DataCentreId dataCentre, List<DataCentreId> dataCentres,
		int size, Endpoint callers, Endpoint operators, Endpoint peers, List<PeerAddress> peerHosts,
		List<Endpoint> platform, List<Key> keys, List<Key> operatorKeys, Limits limits, ProtocolTimings timings,
		OptionalLong seed, LogFile logFile) {

	/** Default relative size. */
	public static final int DEFAULT_SIZE = 1;

	/** Default endpoint for callers. */
	public static final Endpoint DEFAULT_CALLERS = new Endpoint("0.0.0.0", 8080);

	/**
	 * Default endpoint for operators: loopback, so that edits require access to the host.
	 */
	public static final Endpoint DEFAULT_OPERATORS = new Endpoint("127.0.0.1", 8081);

	/** Default endpoint for peers. */
	public static final Endpoint DEFAULT_PEERS = new Endpoint("0.0.0.0", 8082);

	public HostSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(region, "region");
		Objects.requireNonNull(dataCentre, "dataCentre");
		dataCentres = List.copyOf(dataCentres);
		Objects.requireNonNull(callers, "callers");
		Objects.requireNonNull(operators, "operators");
		Objects.requireNonNull(peers, "peers");
		peerHosts = List.copyOf(peerHosts);
		platform = List.copyOf(platform);
		keys = List.copyOf(keys);
		operatorKeys = List.copyOf(operatorKeys);
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(timings, "spans");
		Objects.requireNonNull(seed, "seed");
		Objects.requireNonNull(logFile, "logFile");
	}

	/**
	 * Returns the endpoint at which other entry hosts reach this one.
	 * @return the endpoint of this host in {@code peerHosts}, otherwise the one on which
	 * it listens
	 */
	public Endpoint advertisedEndpoint() {
		return this.peerHosts.stream()
			.filter((peer) -> peer.host().equals(this.host))
			.map(PeerAddress::endpoint)
			.findFirst()
			.orElse(this.peers);
	}

	/**
	 * Returns these settings with other keys.
	 * @param newKeys the keys of the entry hosts, not null
	 * @param newOperatorKeys the keys of the operators, not null
	 * @return the settings, not null
	 */
	public HostSettings withKeys(List<Key> newKeys, List<Key> newOperatorKeys) {
		return new HostSettings(this.host, this.region, this.dataCentre, this.dataCentres, this.size, this.callers,
				this.operators, this.peers, this.peerHosts, this.platform, newKeys, newOperatorKeys, this.limits,
				this.timings, this.seed, this.logFile);
	}

	/**
	 * Reads settings.
	 * @param source the name of the file for use in problems, not null
	 * @param json the settings in UTF-8, not null
	 * @return the settings or all problems, not null
	 */
	public static JsonResult<HostSettings> read(String source, byte[] json) {
		return HostSettingsReader.read(source, json);
	}

}
