package org.limpetgate.host.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.host.configuration.ConfigurationService;
import org.limpetgate.host.configuration.FakeLog;
import org.limpetgate.host.configuration.PeerConfigurations;
import org.limpetgate.host.configuration.VirtualTime;
import org.limpetgate.host.settings.Key;
import org.limpetgate.net.http.HttpCall;
import org.limpetgate.net.http.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OperatorApi}.
 */
class OperatorApiTests {

	private static final Key KEY = Key.of("ana", "a".repeat(32));

	private static final HostId HOST = HostId.of("h");

	private static final String POOL = "{'name':'p','kind':'runners','upstreams':[]}".replace('\'', '"');

	private static final String ROUTE = "{'name':'r/1','pool':'p'}".replace('\'', '"');

	private final VirtualTime time = new VirtualTime();

	private final FakeLog.Access log = new FakeLog(this.time, new Random(1)).new Access();

	private final ConfigurationService service = new ConfigurationService(HOST, this.log, PeerConfigurations.NONE,
			this.time, this.time, new Random(2), ConfigurationService.DEFAULT_SNAPSHOT_INTERVAL);

	private final OperatorApi api = new OperatorApi(HOST, this.service,
			() -> List.of(new ClusterStatus.HostVersion(HOST, DataCentreId.of("d"), 1, 7_000_000, 0)), List.of(KEY),
			this.time::nowNanos);

	private HttpReply send(HttpCall call) {
		CompletableFuture<HttpReply> reply = this.api.handle(call);
		this.time.runFor(Duration.ofSeconds(6));
		return reply.join();
	}

	private HttpCall signed(Key key, long ageMillis, HttpCall call) {
		Map<String, String> headers = new HashMap<>(call.headers());
		long now = Duration.ofNanos(this.time.nowNanos()).toMillis();
		headers.put(OperatorSignature.HEADER, OperatorSignature.sign(key, call, now - ageMillis));
		return new HttpCall(call.method(), call.target(), headers, call.body());
	}

	private HttpReply send(String method, String path, String header, String body) {
		Map<String, String> headers = header.isEmpty() ? Map.of()
				: Map.of(header.substring(0, header.indexOf(':')), header.substring(header.indexOf(':') + 1));
		return send(signed(KEY, 0,
				new HttpCall(method, OperatorApi.PREFIX + path, headers, body.getBytes(StandardCharsets.UTF_8))));
	}

	private static JsonNode json(HttpReply reply) throws IOException {
		return new JsonMapper().readTree(reply.body());
	}

	/**
	 * The cases run in order on the same host, each with the expected status and a part
	 * of the expected body. Guards against answers that mislead operators.
	 */
	@Example
	void answersEachRequest() {
		record Case(String method, String path, String header, String body, int status, String part) {
		}
		List<Case> cases = List.of(new Case("GET", "status", "", "", 200, "\"ready\":false"),
				new Case("GET", "routes", "", "", 503, "NOT_READY"), new Case("START", "", "", "", 0, ""),
				new Case("GET", "routes", "", "", 200, "{\"version\":-1,\"rows\":[]}"),
				new Case("PUT", "pools/p", "", POOL, 422, "If-None-Match: *"),
				new Case("PUT", "pools/p", "if-match:*", POOL, 422, "If-None-Match: *"),
				new Case("PUT", "pools/p", "if-none-match:*", POOL.replace("runners", "robots"), 422,
						"request body: $.kind"),
				new Case("PUT", "pools/q", "if-none-match:*", POOL, 422, "$.name"),
				new Case("PUT", "routes/r/1", "if-none-match:*", ROUTE, 422, "names pool 'p', which does not exist"),
				new Case("PUT", "pools/p", "if-none-match:*", POOL, 200, "\"version\":1"),
				new Case("PUT", "pools/p", "if-none-match:*", POOL, 409, "\"outcome\":\"not-run\""),
				new Case("PUT", "routes/r%2F1", "if-none-match:*", ROUTE, 200, "\"version\":3"),
				new Case("GET", "routes/r/1", "", "", 200, "\"inFlight\":1000000"),
				new Case("GET", "routes/x", "", "", 404, "UNKNOWN_ROW"),
				new Case("GET", "routes/%zz", "", "", 400, "percent"),
				new Case("PUT", "pools/p", "if-match:\"0\"", POOL, 409, "VERSION_CONFLICT"),
				new Case("DELETE", "pools/p", "if-match:\"1\"", "", 422, "named by route"),
				new Case("DELETE", "routes/r/1", "if-none-match:*", "", 422, "If-Match"),
				new Case("DELETE", "routes/r/1", "if-match:\"3\"", "", 200, "accepted"),
				new Case("POST", "pools/p", "", "", 400, "use GET, PUT or DELETE"),
				new Case("GET", "tables", "", "", 200, "{\"pools\":[{\"name\":\"p\""),
				new Case("PUT", "tables", "", "{\"pool\":[]}", 422, "request body: $.pool"),
				new Case("PUT", "tables", "", "{\"pools\":[]}", 422, "may be reset only after"),
				new Case("GET", "nowhere", "", "", 400, "no such path"),
				new Case("GET", "history?limit=1", "", "", 200, "\"operator\":\"ana\""),
				new Case("GET", "history?limit=x", "", "", 400, "limit"),
				new Case("GET", "edits/nothing", "", "", 200, "\"state\":\"unknown\""),
				new Case("GET", "status", "", "", 200, "\"behindMillis\":7"), new Case("OUT", "", "", "", 0, ""),
				new Case("PUT", "pools/p", "if-match:\"1\"", POOL, 504, "\"outcome\":\"unknown\""));
		for (Case step : cases) {
			if (step.method.equals("START")) {
				this.service.start();
				this.time.runFor(Duration.ofSeconds(1));
			}
			else if (step.method.equals("OUT")) {
				this.log.outage = true;
			}
			else {
				HttpReply reply = send(step.method, step.path, step.header, step.body);
				assertThat(reply.status()).as(step.toString()).isEqualTo(step.status);
				assertThat(new String(reply.body(), StandardCharsets.UTF_8)).contains(step.part);
				assertThat(reply.header("limpetgate-outcome")).isNotEmpty();
			}
		}
	}

	/**
	 * Guards against a replayed request that adds a row again after its removal.
	 */
	@Example
	void replayedEditHasNoEffect() {
		this.service.start();
		this.time.runFor(Duration.ofSeconds(1));
		HttpCall add = signed(KEY, 0, new HttpCall("PUT", OperatorApi.PREFIX + "pools/p", Map.of("if-none-match", "*"),
				POOL.getBytes(StandardCharsets.UTF_8)));
		assertThat(send(add).status()).isEqualTo(200);
		assertThat(send("DELETE", "pools/p", "if-match:\"0\"", "").status()).isEqualTo(200);
		assertThat(send(add).header("etag")).isEqualTo("\"0\"");
		assertThat(this.service.configuration().pools()).isEmpty();
	}

	/**
	 * Guards against requests without a configured key, and against signatures that are
	 * copied to another request.
	 */
	@Example
	void admitsOnlySignedRequests() throws IOException {
		HttpCall call = new HttpCall("GET", OperatorApi.PREFIX + "status", Map.of(), new byte[0]);
		HttpCall valid = signed(KEY, 1000, call);
		assertThat(send(valid).status()).isEqualTo(200);
		Map<String, String> otherVersion = new HashMap<>(valid.headers());
		otherVersion.put("if-match", "\"1\"");
		List<HttpCall> refused = List.of(call, signed(Key.of("ana", "b".repeat(32)), 0, call),
				signed(Key.of("eva", "a".repeat(32)), 0, call), signed(KEY, 120_000, call), signed(KEY, -120_000, call),
				new HttpCall("PUT", call.target(), valid.headers(), call.body()),
				new HttpCall("GET", call.target() + "?", valid.headers(), call.body()),
				new HttpCall("GET", call.target(), valid.headers(), new byte[1]),
				new HttpCall("GET", call.target(), otherVersion, call.body()));
		for (HttpCall attempt : refused) {
			HttpReply reply = send(attempt);
			assertThat(reply.status()).as(attempt.toString()).isEqualTo(401);
			assertThat(json(reply).get("error").textValue()).isEqualTo("NOT_ADMITTED");
		}
	}

}
