package org.limpetgate.standin.cluster;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import org.limpetgate.standin.PlatformFaults;
import org.limpetgate.standin.UpstreamFaults;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Integration tests with entry hosts in separate processes on loopback. They assert
 * outcomes and the order of events, never times.
 */
class ClusterTests {

	private static final String COMPLETE = "\"outcome\":\"complete\"";

	/**
	 * Guards against a second start through another host and against responses to the
	 * wrong request.
	 */
	@Example
	void resubmissionsThroughEveryHostStartOnce() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			for (String home : List.of("a", "b")) {
				String key = TestCluster.keyWithHome(home, "once");
				String job = TestCluster.jobJson(key, 300, "");
				List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
				for (int round = 0; round < 3; round++) {
					TestCluster.HOSTS.forEach((host) -> responses.add(cluster.submit(host, job)));
				}
				responses.forEach((response) -> assertThat(response.join().body()).contains(COMPLETE, "cabinet 7"));
				assertThat(cluster.starts.starts(key)).isEqualTo(1);
			}
			assertThat(cluster.starts.startedTwice()).isEmpty();
		}
	}

	/**
	 * Guards against a second start after the holder of a job was killed, even after the
	 * host has restarted.
	 */
	@Example
	void jobOfAKilledHolderIsUnknownAndNeverStartsAgain() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			String key = TestCluster.keyWithHome("a", "killed");
			String job = TestCluster.jobJson(key, 60_000, "");
			cluster.submit("a1", job);
			TestCluster.await("start", () -> cluster.starts.starts(key) == 1);
			cluster.host("a1").kill();
			assertUnknown(cluster, key, job, "a2", "b1");
			cluster.start("a1");
			cluster.awaitReady(List.of("a1"));
			assertUnknown(cluster, key, job, "a1", "a2", "b2");
			assertThat(cluster.starts.starts(key)).isEqualTo(1);
		}
	}

	private static void assertUnknown(TestCluster cluster, String key, String job, String... hosts) {
		for (String host : hosts) {
			HttpResponse<String> response = cluster.submit(host, job).join();
			assertThat(response.headers().firstValue("limpetgate-outcome"))
				.as("%s via %s: %s", key, host, response.body())
				.contains("unknown");
			assertThat(response.statusCode()).isGreaterThanOrEqualTo(500);
		}
	}

	/**
	 * Guards against a start by another host while the holder is paused, and against a
	 * second start or a lost response when it resumes.
	 */
	@Example
	void jobOfAPausedHolderIsCompletedByThatHolder() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			String key = TestCluster.keyWithHome("a", "paused");
			String job = TestCluster.jobJson(key, 500, "");
			CompletableFuture<HttpResponse<String>> first = cluster.submit("a1", job);
			TestCluster.await("start", () -> cluster.starts.starts(key) == 1);
			cluster.host("a1").signal("STOP");
			CompletableFuture<HttpResponse<String>> second = cluster.submit("a2", job);
			CompletableFuture<HttpResponse<String>> third = cluster.submit("b1", job);
			Thread.sleep(1500);
			cluster.host("a1").signal("CONT");
			assertThat(first.join().body()).contains(COMPLETE);
			for (CompletableFuture<HttpResponse<String>> other : List.of(second, third)) {
				assertThat(other.join().headers().firstValue("limpetgate-outcome").orElse("")).isIn("complete",
						"unknown");
			}
			TestCluster.await("response through the other host",
					() -> cluster.submit("a2", job).join().body().contains(COMPLETE));
			assertThat(cluster.starts.starts(key)).isEqualTo(1);
		}
	}

	/**
	 * Guards against false refusals and starts without a claim during a log outage, and
	 * against an outage that also stops work that does not need the log.
	 */
	@Example
	void logOutageStopsOnlyWorkThatNeedsTheLog() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			String tickets = cluster.host("a1").send("POST", "/v1/tickets?count=1", "").join().body();
			String ticket = tickets.substring(tickets.indexOf("ticket:"), tickets.lastIndexOf('"'));
			cluster.platform.setFaults(PlatformFaults.NONE.withLogDown(true));
			String key = TestCluster.keyWithHome("a", "outage");
			String job = TestCluster.jobJson(key, 10, "");
			assertOutcome(cluster.submit("a1", job).join(), "unknown");
			String declared = TestCluster.keyWithHome("a", "declared");
			assertOutcome(cluster.submit("a2", TestCluster.jobJson(declared, 10, "'attempt':1,")).join(), "not-run");
			assertThat(cluster.starts.starts(key) + cluster.starts.starts(declared)).isZero();
			assertOutcome(cluster.submit("b1", TestCluster.jobJson(ticket, 10, "")).join(), "complete");
			assertThat(cluster.starts.starts(ticket)).isEqualTo(1);
			String idempotent = TestCluster.keyWithHome("a", "idempotent");
			String idempotentJob = TestCluster.jobJson(idempotent, 10, "")
				.replace("\"id\":\"t\"", "\"id\":\"t\",\"idempotent\":true");
			assertOutcome(cluster.submit("a1", idempotentJob).join(), "complete");
			assertOutcome(cluster.host("b2").send("POST", "/checks/x", "cabinet 8").join(), "complete");
			cluster.platform.setFaults(PlatformFaults.NONE);
			TestCluster.await("the job after the outage",
					() -> cluster.submit("a2", job).join().body().contains(COMPLETE));
			assertThat(cluster.starts.starts(key)).isEqualTo(1);
		}
	}

	private static void assertOutcome(HttpResponse<String> response, String outcome) {
		assertThat(response.headers().firstValue("limpetgate-outcome")).as(response.body()).contains(outcome);
		if (!outcome.equals("complete")) {
			assertThat(response.headers().firstValue("retry-after")).as(response.body()).isPresent();
		}
	}

	/**
	 * Guards against a data centre that stops serving, loses its configuration or reverts
	 * to an older version while it is partitioned from the other data centre and the
	 * platform.
	 */
	@Example
	void partitionedDataCentreServesAndCatchesUp() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			cluster.disconnectDataCentres();
			cluster.disconnectPlatform("b");
			assertThat(cluster.putRow("a2", "routes",
					"{'name':'proofs','match':{'pathPrefix':'/proofs'},'pool':'checks'}", "--new"))
				.isZero();
			cluster.awaitVersion(List.of("a1", "a2"), 2);
			assertThat(cluster.host("b1").version()).isEqualTo(1);
			assertOutcome(cluster.host("b1").send("POST", "/checks/x", "cabinet 8").join(), "complete");
			cluster.host("b2").kill();
			cluster.start("b2");
			cluster.awaitReady(List.of("b2"));
			assertThat(cluster.host("b2").version()).isEqualTo(1);
			assertOutcome(cluster.host("b2").send("POST", "/checks/x", "cabinet 8").join(), "complete");
			assertThat(cluster.putRow("b1", "routes", "{'name':'lost','match':{'pathPrefix':'/lost'},'pool':'checks'}",
					"--new"))
				.isNotZero();
			cluster.reconnectPlatform("b");
			cluster.reconnectDataCentres();
			cluster.awaitVersion(TestCluster.HOSTS, 2);
			assertOutcome(cluster.host("b1").send("POST", "/proofs/x", "plate 3").join(), "complete");
		}
	}

	/**
	 * Guards against aborted requests and jobs that start twice during a rolling
	 * replacement of all hosts under load.
	 */
	@Example
	void rollingReplacementFailsNoRequest() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			AtomicBoolean running = new AtomicBoolean(true);
			AtomicInteger completed = new AtomicInteger();
			List<String> failures = Collections.synchronizedList(new ArrayList<>());
			Thread load = new Thread(() -> sendWhile(cluster, running, completed, failures), "load");
			Thread jobs = new Thread(() -> submitWhile(cluster, running, failures), "jobs");
			load.start();
			jobs.start();
			for (String name : TestCluster.HOSTS) {
				HostProcess old = cluster.host(name);
				assertThat(old.terminate()).as("exit code of %s", name).isZero();
				cluster.start(name);
				cluster.awaitReady(List.of(name));
			}
			running.set(false);
			load.join();
			jobs.join();
			assertThat(failures).isEmpty();
			assertThat(completed.get()).isPositive();
			assertThat(cluster.starts.startedTwice()).isEmpty();
		}
	}

	/**
	 * Guards against the loss of a result when its host ends before the caller has
	 * fetched it.
	 */
	@Example
	void leavingHostHandsOutResultsBeforeItEnds() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			String key = TestCluster.keyWithHome("a", "collected");
			HttpResponse<String> accepted = cluster.submit("a1", TestCluster.jobJson(key, 200, "'wait':false,")).join();
			assertThat(accepted.statusCode()).isEqualTo(202);
			CompletableFuture<Integer> exit = CompletableFuture.supplyAsync(() -> terminate(cluster.host("a1")));
			TestCluster.await("closed listener", () -> !cluster.host("a1").acceptsCallers());
			// A host that does not wait for the caller would end after the grace period
			// of idle connections, which is 1 s.
			Thread.sleep(3000);
			HttpResponse<String> result = cluster.host("a2").send("GET", "/v1/submissions/" + key, "").join();
			assertThat(result.body()).contains(COMPLETE);
			assertThat(exit.join()).isZero();
			assertThat(cluster.starts.starts(key)).isEqualTo(1);
		}
	}

	private static int terminate(HostProcess host) {
		try {
			return host.terminate();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// Sends to ready hosts only, as the load balancer does; not-run refusals are not
	// failures.
	private static void sendWhile(TestCluster cluster, AtomicBoolean running, AtomicInteger completed,
			List<String> failures) {
		for (int number = 0; running.get(); number++) {
			String name = TestCluster.HOSTS.get(number % TestCluster.HOSTS.size());
			HostProcess host = cluster.host(name);
			if (!host.isAlive() || !host.isReady()) {
				continue;
			}
			HttpResponse<String> response;
			try {
				response = host
					.send("POST", "/checks/x", "cabinet", "x-request-id", "rolling-" + number, "x-run-millis", "100")
					.join();
			}
			catch (RuntimeException ex) {
				failures.add("request " + number + " at " + name + " was aborted: " + ex);
				continue;
			}
			String outcome = response.headers().firstValue("limpetgate-outcome").orElse("none");
			if (outcome.equals("complete")) {
				completed.incrementAndGet();
			}
			else if (!outcome.equals("not-run")) {
				failures.add("request " + number + " at " + name + ": " + outcome + " " + response.body());
			}
		}
	}

	// Resubmits each job through other hosts until it is complete, as a client without a
	// result does.
	private static void submitWhile(TestCluster cluster, AtomicBoolean running, List<String> failures) {
		for (int number = 0; running.get(); number++) {
			String key = "rolling-job-" + number;
			String job = TestCluster.jobJson(key, 100, "");
			String last = "";
			for (int attempts = 0; attempts < 200 && !last.contains(COMPLETE); attempts++) {
				last = submitToReadyHost(cluster, TestCluster.HOSTS.get((number + attempts) % 4), job);
			}
			if (!last.contains(COMPLETE)) {
				failures.add("job " + key + ": " + last);
			}
		}
	}

	private static String submitToReadyHost(TestCluster cluster, String name, String job) {
		HostProcess host = cluster.host(name);
		try {
			return (host.isAlive() && host.isReady()) ? host.send("POST", "/v1/submissions", job).join().body() : "";
		}
		catch (RuntimeException ex) {
			return "aborted: " + ex;
		}
	}

	/**
	 * Guards against a data centre that refuses work for a pool whose upstreams are all
	 * in another data centre, and against a second hop.
	 */
	@Example
	void workForAPoolInAnotherDataCentreIsForwarded() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			assertThat(cluster.putRow("a1", "pools", poolOfBothRunners(cluster), "--base=0")).isZero();
			cluster.awaitVersion(TestCluster.HOSTS, 2);
			for (String host : List.of("b1", "b2")) {
				TestCluster.await("forwarded request of " + host, () -> {
					sendConcurrently(cluster, "a1");
					sendConcurrently(cluster, "a2");
					HttpResponse<String> response = cluster.host(host).send("POST", "/checks/x", "x").join();
					return response.headers().firstValue("limpetgate-outcome").orElse("").equals("complete");
				});
			}
			String key = TestCluster.keyWithHome("b", "elsewhere");
			assertOutcome(cluster.submit("b2", TestCluster.jobJson(key, 10, "")).join(), "complete");
			assertThat(cluster.starts.starts(key)).isEqualTo(1);
		}
	}

	/**
	 * Guards against new work for an upstream after all hosts have learned that it is
	 * leaving, and against a request that it loses.
	 */
	@Example
	void leavingUpstreamGetsNoNewWork() throws Exception {
		try (TestCluster cluster = new TestCluster()) {
			assertThat(cluster.putRow("a1", "pools", poolOfBothRunners(cluster), "--base=0")).isZero();
			cluster.awaitVersion(TestCluster.HOSTS, 2);
			cluster.runners.get("b").setFaults(new UpstreamFaults(UpstreamFaults.Fault.NONE, 0, 0, true));
			TestCluster.await("both hosts log the leaving upstream", () -> {
				sendConcurrently(cluster, "a1");
				return cluster.hasLogged("a1", "LG3002") && cluster.hasLogged("a2", "LG3002");
			});
			cluster.runners.get("b").setFaults(UpstreamFaults.NONE);
			for (int request = 0; request < 40; request++) {
				HttpResponse<String> response = cluster.host((request % 2 == 0) ? "a1" : "a2")
					.send("POST", "/checks/x", "x")
					.join();
				assertThat(response.headers().firstValue("x-upstream")).contains("runner-a");
			}
		}
	}

	// Sends enough concurrent requests to need both runners.
	private static void sendConcurrently(TestCluster cluster, String host) {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int request = 0; request < 12; request++) {
			responses.add(cluster.host(host).send("POST", "/checks/x", "x", "x-run-millis", "50"));
		}
		responses.forEach((response) -> assertOutcome(response.join(), "complete"));
	}

	// Both runners are in data centre a, so that its hosts can choose between them.
	private static String poolOfBothRunners(TestCluster cluster) {
		return """
				{'name':'checks','kind':'runners','upstreams':[
				{'id':'runner-a','dataCentre':'a','address':'127.0.0.1','port':%d,'slots':8},
				{'id':'runner-b','dataCentre':'a','address':'127.0.0.1','port':%d,'slots':8}]}
				""".formatted(cluster.runners.get("a").address().getPort(),
				cluster.runners.get("b").address().getPort());
	}

}
