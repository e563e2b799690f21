package org.limpetgate.host.settings;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.config.TableJson;
import org.limpetgate.json.JsonObject;
import org.limpetgate.json.JsonResult;

/**
 * Reads {@link HostSettings} from strict JSON.
 */
final class HostSettingsReader {

	private static final Set<String> WILDCARDS = Set.of("0.0.0.0", "::");

	private static final int MAX_PORT = 65_535;

	private static final int MAX_SIZE = 1_000_000;

	private static final int MIN_HEAD_BYTES = 1024;

	private static final int MAX_HEAD_BYTES = 1024 * 1024;

	private static final int MAX_BODY_BYTES = 1024 * 1024 * 1024;

	private static final int MAX_CONNECTIONS = 1_000_000;

	private static final long MAX_DURATION_MILLIS = Duration.ofDays(1).toMillis();

	private static final long MIN_LOG_BYTES = 64 * 1024;

	private static final long MAX_LOG_BYTES = 1024L * 1024 * 1024;

	private static final int MAX_LOG_FILES = 100;

	private HostSettingsReader() {
	}

	static JsonResult<HostSettings> read(String source, byte[] json) {
		return JsonObject.read(source, json, HostSettingsReader::settings);
	}

	private static HostSettings settings(JsonObject file) {
		HostId host = file.parsedString("host", HostId::of);
		String region = file.string("region", "");
		DataCentreId dataCentre = file.parsedString("dataCentre", DataCentreId::of);
		List<DataCentreId> dataCentres = dataCentres(file, dataCentre);
		int size = (int) file.integer("size", 1, MAX_SIZE, HostSettings.DEFAULT_SIZE);
		Endpoint callers = listenEndpoint(file, "callers", HostSettings.DEFAULT_CALLERS);
		Endpoint operators = listenEndpoint(file, "operators", HostSettings.DEFAULT_OPERATORS);
		Endpoint peers = listenEndpoint(file, "peers", HostSettings.DEFAULT_PEERS);
		checkDistinctPorts(file, callers, operators, peers);
		List<PeerAddress> peerHosts = peerHosts(file, dataCentres);
		checkAdvertisedAddress(file, host, peers, peerHosts);
		List<Endpoint> platform = file.objects("platform", (fields) -> endpoint(fields, 1));
		if (file.has("platform") && platform.isEmpty()) {
			file.problem("platform", "has no usable address", "add the address and port of the platform");
		}
		else if (!file.has("platform")) {
			file.problem("platform", "is missing", "add the address and port of the platform");
		}
		List<Key> keys = keys(file, "keys");
		if (keys.isEmpty() && !peerHosts.isEmpty()) {
			file.problem("keys", "has no usable key", "add a key that all entry hosts share");
		}
		List<Key> operatorKeys = keys(file, "operatorKeys");
		Limits limits = file.object("limits", HostSettingsReader::limits);
		ProtocolTimings timings = file.object("spans", HostSettingsReader::timings);
		OptionalLong seed = file.has("seed") ? OptionalLong.of(file.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE))
				: OptionalLong.empty();
		LogFile logFile = file.object("logFile", HostSettingsReader::logFile);
		return file.build(() -> new HostSettings(host, region, dataCentre, dataCentres, size, callers, operators, peers,
				peerHosts, platform, keys, operatorKeys, limits, timings, seed, logFile));
	}

	private static List<DataCentreId> dataCentres(JsonObject file, DataCentreId ownDataCentre) {
		List<DataCentreId> all = file.parsedList("dataCentres", DataCentreId::of);
		if (!file.has("dataCentres")) {
			return (ownDataCentre != null) ? List.of(ownDataCentre) : List.of();
		}
		if (new HashSet<>(all).size() < all.size()) {
			file.problem("dataCentres", "lists a data centre twice", "list each one once");
		}
		if (ownDataCentre != null && !all.contains(ownDataCentre)) {
			file.problem("dataCentres", "lacks '" + ownDataCentre + "', the data centre of this host", "add it");
		}
		return all;
	}

	private static Endpoint listenEndpoint(JsonObject file, String field, Endpoint defaultValue) {
		return file.object(field, (fields) -> {
			String address = fields.parsedString("address", TableJson::ipAddress, defaultValue.address());
			int port = (int) fields.integer("port", 0, MAX_PORT, defaultValue.port());
			return fields.build(() -> new Endpoint(address, port));
		});
	}

	private static void checkDistinctPorts(JsonObject file, Endpoint callers, Endpoint operators, Endpoint peers) {
		Set<Integer> ports = new HashSet<>();
		for (Endpoint endpoint : new Endpoint[] { callers, operators, peers }) {
			if (endpoint != null && endpoint.port() != 0 && !ports.add(endpoint.port())) {
				file.problem("", "uses port " + endpoint.port() + " for two of callers, operators and peers",
						"use three different ports");
			}
		}
	}

	// Peers cannot connect to the wildcard address that this host listens on.
	private static void checkAdvertisedAddress(JsonObject file, HostId host, Endpoint peers,
			List<PeerAddress> peerHosts) {
		boolean listsThisHost = peerHosts.stream().anyMatch((peer) -> peer.host().equals(host));
		if (!peerHosts.isEmpty() && !listsThisHost && peers != null && WILDCARDS.contains(peers.address())) {
			file.problem("peerHosts", "has no entry for this host, which listens for peers on " + peers.address(),
					"add an entry with the address at which the others reach it, or set a specific address in peers");
		}
	}

	private static Endpoint endpoint(JsonObject fields, int minPort) {
		String address = fields.parsedString("address", TableJson::ipAddress);
		int port = (int) fields.integer("port", minPort, MAX_PORT);
		return fields.build(() -> new Endpoint(address, port));
	}

	private static List<PeerAddress> peerHosts(JsonObject file, List<DataCentreId> dataCentres) {
		Set<HostId> hostIds = new HashSet<>();
		return file.objects("peerHosts", (fields) -> peer(fields, hostIds, dataCentres));
	}

	private static PeerAddress peer(JsonObject fields, Set<HostId> hostIds, List<DataCentreId> dataCentres) {
		HostId host = fields.parsedString("host", HostId::of);
		if (host != null && !hostIds.add(host)) {
			fields.problem("host", "'" + host + "' is listed twice", "list each host once");
		}
		DataCentreId dataCentre = fields.parsedString("dataCentre", DataCentreId::of);
		if (dataCentre != null && !dataCentres.contains(dataCentre)) {
			fields.problem("dataCentre", "'" + dataCentre + "' is not among dataCentres",
					"add it there or correct the name");
		}
		String address = fields.parsedString("address", TableJson::ipAddress);
		int port = (int) fields.integer("port", 1, MAX_PORT);
		return fields.build(() -> new PeerAddress(host, dataCentre, new Endpoint(address, port)));
	}

	private static List<Key> keys(JsonObject file, String field) {
		Set<String> ids = new HashSet<>();
		return file.objects(field, (fields) -> {
			HostId id = fields.parsedString("id", HostId::of);
			if (id != null && !ids.add(id.value())) {
				fields.problem("id", "'" + id + "' is the id of an earlier key", "use another id");
			}
			String secret = fields.parsedString("secret", Key::requireValidSecret);
			return fields.build(() -> Key.of(id.value(), secret));
		});
	}

	private static Limits limits(JsonObject fields) {
		int headBytes = (int) fields.integer("headBytes", MIN_HEAD_BYTES, MAX_HEAD_BYTES, Limits.DEFAULT_HEAD_BYTES);
		int bodyBytes = (int) fields.integer("bodyBytes", 1, MAX_BODY_BYTES, Limits.DEFAULT_BODY_BYTES);
		int connections = (int) fields.integer("connections", 1, MAX_CONNECTIONS, Limits.DEFAULT_CONNECTIONS);
		Duration requestTime = duration(fields, "requestMillis", Limits.DEFAULT_REQUEST_TIME);
		return fields.build(() -> new Limits(headBytes, bodyBytes, connections, requestTime));
	}

	private static ProtocolTimings timings(JsonObject fields) {
		Duration claimWait = duration(fields, "claimWaitMillis", ProtocolTimings.DEFAULT_CLAIM_WAIT);
		Duration maxExpiryAhead = duration(fields, "maxExpiryAheadMillis", ProtocolTimings.DEFAULT_MAX_EXPIRY_AHEAD);
		Duration keyHorizon = duration(fields, "keyHorizonMillis", ProtocolTimings.DEFAULT_KEY_HORIZON);
		Duration skewBound = duration(fields, "skewBoundMillis", ProtocolTimings.DEFAULT_SKEW_BOUND);
		Duration drainBound = duration(fields, "drainBoundMillis", ProtocolTimings.DEFAULT_DRAIN_BOUND);
		Duration snapshotInterval = duration(fields, "snapshotIntervalMillis",
				ProtocolTimings.DEFAULT_SNAPSHOT_INTERVAL);
		if (keyHorizon.compareTo(maxExpiryAhead.plus(skewBound)) < 0) {
			fields.problem("keyHorizonMillis", "is less than the sum of maxExpiryAheadMillis and skewBoundMillis",
					"use a longer horizon");
		}
		if (snapshotInterval.multipliedBy(2).compareTo(keyHorizon) > 0) {
			fields.problem("snapshotIntervalMillis",
					"is more than half of keyHorizonMillis; the log may retain records no longer than that",
					"use a shorter interval");
		}
		return fields.build(() -> new ProtocolTimings(claimWait, maxExpiryAhead, keyHorizon, skewBound, drainBound,
				snapshotInterval));
	}

	private static Duration duration(JsonObject fields, String field, Duration defaultValue) {
		return Duration.ofMillis(fields.integer(field, 1, MAX_DURATION_MILLIS, defaultValue.toMillis()));
	}

	private static LogFile logFile(JsonObject fields) {
		String path = fields.string("path", "");
		long maxBytes = fields.integer("maxBytes", MIN_LOG_BYTES, MAX_LOG_BYTES, LogFile.DEFAULT_MAX_BYTES);
		int files = (int) fields.integer("files", 1, MAX_LOG_FILES, LogFile.DEFAULT_FILES);
		return fields.build(() -> new LogFile(path, maxBytes, files));
	}

}
