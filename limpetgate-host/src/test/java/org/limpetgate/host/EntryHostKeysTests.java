package org.limpetgate.host;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.ErrorKind;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.host.operator.OperatorApi;
import org.limpetgate.host.operator.OperatorSignature;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.host.settings.Key;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.peer.PeerAddress;
import org.limpetgate.net.peer.PeerIdentity;
import org.limpetgate.net.peer.PeerKeys;
import org.limpetgate.net.peer.PeerLinks;
import org.limpetgate.net.peer.PeerSettings;
import org.limpetgate.proto.PeerFrame;
import org.limpetgate.proto.QuerySubmission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the replacement of the keys of a running {@link EntryHost}.
 */
class EntryHostKeysTests {

	private static final HostId HOST = HostId.of("h");

	private static final Key OLD = Key.of("old", "o".repeat(40));

	private static final Key NEW = Key.of("new", "n".repeat(40));

	private static final String SETTINGS = """
			{'host':'h','dataCentre':'d','callers':{'address':'127.0.0.1','port':0},
			'operators':{'address':'127.0.0.1','port':0},'peers':{'address':'127.0.0.1','port':0},
			'platform':[{'address':'127.0.0.1','port':1}],'spans':{'drainBoundMillis':1000},
			'keys':[{'id':'old','secret':'%s'}],'operatorKeys':[{'id':'old','secret':'%s'}]}
			""";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	/**
	 * Rotates the keys in steps. Guards against keys that are accepted too early or too
	 * long, by the links or by the operator API.
	 */
	@Example
	void admitsExactlyTheKeysInForce() throws Exception {
		record Step(List<Key> keys, List<Key> operatorKeys) {
		}
		List<Step> steps = List.of(new Step(List.of(OLD), List.of(OLD)), new Step(List.of(OLD, NEW), List.of(OLD)),
				new Step(List.of(NEW, OLD), List.of(OLD, NEW)), new Step(List.of(NEW), List.of(NEW)));
		String secret = "o".repeat(40);
		EntryHost host = EntryHost.start(HostSettings
			.read("h", SETTINGS.formatted(secret, secret).replace('\'', '"').getBytes(StandardCharsets.UTF_8))
			.orThrow(ErrorKind.INVALID_EDIT));
		try {
			for (Step step : steps) {
				host.replaceKeys(step.keys, step.operatorKeys);
				for (Key key : List.of(OLD, NEW)) {
					assertThat(operatorStatus(host, key)).as("%s with %s", step, key)
						.isEqualTo(step.operatorKeys.contains(key) ? 200 : 401);
					assertLink(host, key, step.keys.contains(key));
				}
			}
			assertThatThrownBy(() -> host.replaceKeys(List.of(), List.of(OLD)))
				.isInstanceOf(IllegalArgumentException.class);
			assertThat(operatorStatus(host, OLD)).isEqualTo(401);
		}
		finally {
			host.drain().join();
			this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static int operatorStatus(EntryHost host, Key key) throws Exception {
		String path = OperatorApi.PREFIX + "status";
		String signature = OperatorSignature.sign(key, new HttpCall("GET", path, Map.of(), new byte[0]),
				System.currentTimeMillis());
		URI uri = URI.create("http://127.0.0.1:" + host.operatorAddress().getPort() + path);
		HttpRequest request = HttpRequest.newBuilder(uri).header(OperatorSignature.HEADER, signature).build();
		return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
	}

	/** Connects to the host as a peer that has only the given key. */
	private void assertLink(EntryHost host, Key key, boolean admitted) {
		PeerIdentity peer = new PeerIdentity(Incarnation.of(HostId.of("peer"), 7), DataCentreId.of("d"));
		PeerSettings settings = PeerSettings.of(peer, PeerKeys.of(key.id(), Map.of(key.id(), key.secret())));
		PeerLinks links = PeerLinks.of(this.group, settings, new SplittableRandom(1));
		links.configure(List.of(new PeerAddress(HOST, host.peerAddress())));
		await(() -> admitted ? links.isUp(HOST) : isRefused(links));
		assertThat(links.isUp(HOST)).as("link with %s", key).isEqualTo(admitted);
		links.close();
	}

	private static boolean isRefused(PeerLinks links) {
		PeerFrame.Builder query = PeerFrame.newBuilder().setQuerySubmission(QuerySubmission.newBuilder().setKey("x"));
		return links.request(HOST, query, TimeUnit.SECONDS.toNanos(20))
			.handle((frame, failure) -> failure != null && !failure.getMessage().contains("no connection yet"))
			.join();
	}

	private static void await(BooleanSupplier condition) {
		for (int i = 0; i < 4000 && !condition.getAsBoolean(); i++) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
