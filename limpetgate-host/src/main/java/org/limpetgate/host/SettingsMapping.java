package org.limpetgate.host;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.limpetgate.host.settings.Endpoint;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;
import org.limpetgate.host.settings.PeerAddress;
import org.limpetgate.host.settings.ProtocolTimings;
import org.limpetgate.membership.MemberAddress;
import org.limpetgate.net.http.HttpServerLimits;
import org.limpetgate.submission.SubmissionSettings;

/**
 * Converts the settings of a host to those of its components.
 */
final class SettingsMapping {

	/** Maximum rate of claim appends by all hosts together. */
	private static final int MAX_CLAIM_APPENDS_PER_SECOND = 300;

	private SettingsMapping() {
	}

	static HttpServerLimits callerLimits(HostSettings settings) {
		return HttpServerLimits.defaults()
			.withRequestBytes(settings.limits().headBytes(), settings.limits().bodyBytes())
			.withTotalLimits(settings.limits().connections(), Runtime.getRuntime().maxMemory() / 4)
			.withRequestTimes(settings.limits().requestTime().toNanos(), HttpServerLimits.defaults().idleNanos());
	}

	static SubmissionSettings submissionSettings(HostSettings settings) {
		ProtocolTimings timings = settings.timings();
		SubmissionSettings defaults = SubmissionSettings.DEFAULT;
		long appendInterval = Math.max(defaults.minAppendIntervalNanos(),
				TimeUnit.SECONDS.toNanos(1) * settings.peerHosts().size() / MAX_CLAIM_APPENDS_PER_SECOND);
		return new SubmissionSettings(timings.claimWait().toNanos(), defaults.minExpiryAheadNanos(),
				timings.maxExpiryAhead().toNanos(), timings.skewBound().toNanos(), timings.keyHorizon().toNanos(),
				appendInterval, Math.max(appendInterval, defaults.maxAppendIntervalNanos()),
				defaults.appendTimeoutNanos(), defaults.markerIntervalNanos(), defaults.resultRetentionNanos(),
				defaults.maxResultBytes(), defaults.maxPendingClaims(), defaults.maxClaims(), defaults.maxOpenBytes());
	}

	// A host without peers needs no shared key; its tickets are verified only by itself.
	static List<Key> hostKeys(HostSettings settings) {
		return settings.keys().isEmpty() ? List.of(Key.of("own", UUID.randomUUID().toString())) : settings.keys();
	}

	static List<byte[]> ticketSecrets(List<Key> keys) {
		return keys.stream().map(Key::secret).toList();
	}

	static Map<String, byte[]> secrets(List<Key> keys) {
		Map<String, byte[]> secrets = new HashMap<>();
		keys.forEach((key) -> secrets.put(key.id(), key.secret()));
		return secrets;
	}

	static List<MemberAddress> listedMembers(HostSettings settings) {
		List<MemberAddress> addresses = new ArrayList<>();
		for (PeerAddress peer : settings.peerHosts()) {
			addresses.add(new MemberAddress(peer.host(), peer.dataCentre(), peer.endpoint().address(),
					peer.endpoint().port()));
		}
		return addresses;
	}

	static InetSocketAddress toAddress(Endpoint endpoint) {
		return new InetSocketAddress(endpoint.address(), endpoint.port());
	}

}
