package org.limpetgate.config;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.Example;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.json.JsonProblem;
import org.limpetgate.json.JsonResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link TableJson}.
 */
class TableJsonTests {

	private static final String UPSTREAM = "{'id':'u','dataCentre':'d','address':'10.0.0.1','port':80,'slots':8}";

	private static final String WORKER = "{'id':'w','dataCentre':'d','address':'fd00::1','port':80,'cores':16,"
			+ "'memoryMb':32000,'rack':'r1'}";

	private static final String QUOTA = "{'caller':'c','weight':3,'queueTasks':5,'inFlight':2}";

	private static final String TABLES = "{'pools':[{'name':'p','kind':'runners','upstreams':[" + UPSTREAM + "]},"
			+ "{'name':'w','kind':'workers','upstreams':[" + WORKER + "],'quotas':[" + QUOTA + "]}],"
			+ "'routes':[{'name':'r','match':{'method':'GET','headers':{'x-a':'1'}},'pool':'p','inFlight':9}]}";

	private static JsonResult<Configuration> read(String json) {
		return TableJson.readTables("tables.json", json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
	}

	@Example
	void writtenTablesCanBeReadBack() {
		Configuration tables = read(TABLES).orThrow(ErrorKind.INVALID_EDIT);
		String written = TableJson.write(tables);
		Configuration again = read(written).orThrow(ErrorKind.INVALID_EDIT);
		assertThat(again.routes()).containsExactlyElementsOf(tables.routes());
		assertThat(again.pools()).containsExactlyElementsOf(tables.pools());
		assertThat(TableJson.write(again)).isEqualTo(written);
	}

	/**
	 * Each case makes a valid file invalid by replacing a part of it; a problem must be
	 * reported at the path. Guards against mistakes in an edit that are accepted without
	 * an error and have another effect than the operator intended.
	 */
	@Example
	void reportsPathOfEachProblem() {
		record Case(String original, String replacement, String path) {
		}
		List<Case> cases = List.of(new Case("'kind':'runners'", "'kind':'runners','color':1", "$.pools[0].color"),
				new Case("'kind':'runners',", "", "$.pools[0].kind"),
				new Case("'kind':'workers'", "'kind':'robots'", "$.pools[1].kind"),
				new Case("'slots':8", "'slots':0", "$.pools[0].upstreams[0].slots"),
				new Case("'slots':8", "'slots':8.5", "$.pools[0].upstreams[0].slots"),
				new Case("'slots':8", "'slots':'8'", "$.pools[0].upstreams[0].slots"),
				new Case("'slots':8", "'slots':null", "$.pools[0].upstreams[0].slots"),
				new Case("'slots':8", "'slots':99999999999999999999", "$.pools[0].upstreams[0].slots"),
				new Case("'slots':8", "'slots':8,'slots':9", "$.pools[0].upstreams[0].slots"),
				new Case("'cores':16", "'cores':0", "$.pools[1].upstreams[0].cores"),
				new Case("'cores':16", "'cores':1e999", "$.pools[1].upstreams[0].cores"),
				new Case("'cores':16", "'cores':16,'slots':8", "$.pools[1].upstreams[0].slots"),
				new Case("'port':80", "'port':65536", "$.pools[0].upstreams[0].port"),
				new Case("10.0.0.1", "localhost", "$.pools[0].upstreams[0].address"),
				new Case("10.0.0.1", "10.0.0.256", "$.pools[0].upstreams[0].address"),
				new Case("fd00::1", "1:2:3", "$.pools[1].upstreams[0].address"),
				new Case("'id':'w'", "'id':'u'", "$.pools[1].upstreams[0].id"),
				new Case(UPSTREAM, UPSTREAM + "," + UPSTREAM, "$.pools[0].upstreams[1].id"),
				new Case("'name':'w'", "'name':'p'", "$.pools[1].name"),
				new Case("'name':'r'", "'name':'r r'", "$.routes[0].name"),
				new Case("'pool':'p'", "'pool':'nowhere'", "$.routes[0].pool"),
				new Case("'pool':'p'", "'pool':'p','deadlineMillis':0", "$.routes[0].deadlineMillis"),
				new Case("'pool':'p'", "'pool':'p','idempotent':true", "$.routes[0].idempotent"),
				new Case("'pool':'p'", "'pool':'p','priority':'high'", "$.routes[0].priority"),
				new Case("'inFlight':9", "'inFlight':0", "$.routes[0].inFlight"),
				new Case("'inFlight':9", "'inFlight':1000001", "$.routes[0].inFlight"),
				new Case("'caller':'c',", "", "$.pools[1].quotas[0].caller"),
				new Case("'caller':'c'", "'caller':'c c'", "$.pools[1].quotas[0].caller"),
				new Case(QUOTA, QUOTA + "," + QUOTA, "$.pools[1].quotas[1].caller"),
				new Case("'weight':3", "'weight':0", "$.pools[1].quotas[0].weight"),
				new Case("'weight':3", "'weight':1001", "$.pools[1].quotas[0].weight"),
				new Case("'queueTasks':5", "'queueTasks':0", "$.pools[1].quotas[0].queueTasks"),
				new Case("'inFlight':2", "'inFlight':0", "$.pools[1].quotas[0].inFlight"),
				new Case("'inFlight':2", "'inFlight':2,'share':1", "$.pools[1].quotas[0].share"),
				new Case("'GET'", "'get'", "$.routes[0].match.method"),
				new Case("'method':'GET'", "'pathPrefix':'a'", "$.routes[0].match.pathPrefix"),
				new Case("'x-a'", "'X-A'", "$.routes[0].match.headers.X-A"),
				new Case("'x-a':'1'", "'x-a':1", "$.routes[0].match.headers.x-a"),
				new Case("'routes':[", "'route':[", "$.route"));
		for (Case testCase : cases) {
			assertThat(TABLES).contains(testCase.original);
			List<JsonProblem> problems = read(TABLES.replace(testCase.original, testCase.replacement)).problems();
			assertThat(problems).as(testCase.toString()).extracting(JsonProblem::path).contains(testCase.path);
			assertThat(problems).allSatisfy((problem) -> assertThat(problem.remedy()).isNotBlank());
		}
		for (String json : List.of("", "[]", "{", TABLES + "x", "nul", "{'pools':{}}")) {
			assertThat(read(json).isValid()).as(json).isFalse();
		}
	}

	/**
	 * Guards against reporting only the first error, which would make operators repeat
	 * the check once per error.
	 */
	@Example
	void reportsAllProblemsInOnePass() {
		String json = TABLES.replace("'slots':8", "'slots':-1")
			.replace("'kind':'workers'", "'kind':'x'")
			.replace("'pool':'p'", "'pool':'q','deadlineMillis':'1','x':1");
		assertThat(read(json).problems()).extracting(JsonProblem::path)
			.contains("$.pools[0].upstreams[0].slots", "$.pools[1].kind", "$.routes[0].deadlineMillis",
					"$.routes[0].x");
		assertThatThrownBy(() -> read(json).orThrow(ErrorKind.INVALID_EDIT)).isInstanceOf(DispatchException.class)
			.hasMessageContaining("tables.json: $.pools[0].upstreams[0].slots")
			.hasMessageContaining("tables.json: $.routes[0].x");
	}

}
