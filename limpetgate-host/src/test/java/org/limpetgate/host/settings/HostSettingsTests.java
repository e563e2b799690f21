package org.limpetgate.host.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import net.jqwik.api.Example;
import org.limpetgate.ErrorKind;
import org.limpetgate.config.TableJson;
import org.limpetgate.json.JsonProblem;
import org.limpetgate.json.JsonResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HostSettings}.
 */
class HostSettingsTests {

	private static final Path EXAMPLES = Path.of("..", "docs", "examples");

	private static final String MINIMAL = "{'host':'h','dataCentre':'d','platform':[{'address':'127.0.0.1','port':9}]}";

	private static JsonResult<HostSettings> read(String json) {
		return HostSettings.read("host.json", json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Guards against documented examples that the program rejects.
	 */
	@Example
	void examplesAreValid() throws IOException {
		HostSettings settings = HostSettings.read("host.json", Files.readAllBytes(EXAMPLES.resolve("host.json")))
			.orThrow(ErrorKind.INVALID_EDIT);
		assertThat(settings.peerHosts()).hasSize(6);
		assertThat(settings.advertisedEndpoint()).isEqualTo(new Endpoint("10.1.0.1", 8082));
		assertThat(settings.limits()).isEqualTo(Limits.DEFAULT);
		assertThat(settings.timings()).isEqualTo(ProtocolTimings.DEFAULT);
		assertThat(settings.toString()).doesNotContain("random");
		assertThat(TableJson.readTables("tables.json", Files.readAllBytes(EXAMPLES.resolve("tables.json"))).problems())
			.isEmpty();
	}

	@Example
	void defaultsApply() {
		HostSettings settings = read(MINIMAL).orThrow(ErrorKind.INVALID_EDIT);
		assertThat(settings.operators()).isEqualTo(new Endpoint("127.0.0.1", 8081));
		assertThat(settings.dataCentres()).containsExactly(settings.dataCentre());
		assertThat(settings.limits()).isEqualTo(Limits.DEFAULT);
		assertThat(settings.seed()).isEmpty();
	}

	/**
	 * Each case adds fields to the minimal settings; the problem must be reported at the
	 * given path. Guards against hosts that start with other settings than the operator
	 * intended.
	 */
	@Example
	void reportsThePathOfEachProblem() {
		record Case(String fields, String path) {
		}
		String peer = "{'host':'x','dataCentre':'d','address':'10.0.0.1','port':1}";
		String key = "{'id':'k','secret':'" + "s".repeat(32) + "'}";
		List<Case> cases = List.of(new Case("'hots':1", "$.hots"), new Case("'size':0", "$.size"),
				new Case("'size':1.5", "$.size"), new Case("'seed':'x'", "$.seed"),
				new Case("'dataCentres':['e']", "$.dataCentres"), new Case("'dataCentres':['d','d']", "$.dataCentres"),
				new Case("'dataCentres':['d','?']", "$.dataCentres[1]"),
				new Case("'operators':{'address':'localhost'}", "$.operators.address"),
				new Case("'operators':{'port':8080}", "$"), new Case("'callers':{'port':-1}", "$.callers.port"),
				new Case("'peerHosts':[" + peer + "]", "$.keys"),
				new Case("'keys':[" + key + "],'peerHosts':[" + peer + "]", "$.peerHosts"),
				new Case("'keys':[" + key + "],'peerHosts':[" + peer + "," + peer + "]", "$.peerHosts[1].host"),
				new Case("'keys':[" + key + "],'peerHosts':[" + peer.replace("'d'", "'e'") + "]",
						"$.peerHosts[0].dataCentre"),
				new Case("'keys':[" + key + "," + key + "]", "$.keys[1].id"),
				new Case("'operatorKeys':[{'id':'k','secret':'hunter2'}]", "$.operatorKeys[0].secret"),
				new Case("'limits':{'bodyBytes':0}", "$.limits.bodyBytes"),
				new Case("'limits':{'headBytes':1e3}", "$.limits.headBytes"),
				new Case("'spans':{'keyHorizonMillis':600000}", "$.spans.keyHorizonMillis"),
				new Case("'spans':{'snapshotIntervalMillis':600000}", "$.spans.snapshotIntervalMillis"),
				new Case("'logFile':{'files':0}", "$.logFile.files"), new Case("'host':'again'", "$.host"));
		for (Case fault : cases) {
			List<JsonProblem> problems = read(MINIMAL.substring(0, MINIMAL.length() - 1) + "," + fault.fields + "}")
				.problems();
			assertThat(problems).as(fault.toString()).extracting(JsonProblem::path).contains(fault.path);
			assertThat(problems.toString()).doesNotContain("hunter2");
		}
		assertThat(read("{}").problems()).extracting(JsonProblem::path)
			.containsExactly("$.host", "$.dataCentre", "$.platform");
	}

}
