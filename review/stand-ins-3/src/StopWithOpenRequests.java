import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A host is stopped with SIGTERM while requests that it has read wait for room on the runners. */
final class StopWithOpenRequests {

	private static final int RUNNERS = 8;

	private static final int RUNNER_CPU = 16_000;

	private static final int TASK_CPU = 8000;

	private static final int REQUESTS = 4;

	private static final long DEADLINE_MILLIS = 10_000;

	/** `graceS`, after which the platform sends SIGKILL. */
	private static final long GRACE_MILLIS = 6000;

	private static final long LOSS_SLACK_MILLIS = 200;

	private StopWithOpenRequests() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(RUNNER_CPU);
		}
		fleet.configure(4, "\"sloMs\":60,", DEADLINE_MILLIS);
		fleet.startHosts();
		int fill = RUNNERS * RUNNER_CPU / TASK_CPU;
		for (int number = 0; number < fill; number++) {
			fleet.submit(fleet.hosts.get(number % 6), String.format("a1%014d", number), body(45_000, true));
		}
		fleet.await(15_000, "the tasks that fill the service", () -> fleet.running("a1") == fill);
		Fleet.sleep(4000);
		Fleet.Host host = fleet.hosts.stream().filter((one) -> one != fleet.scheduler()).findFirst().orElseThrow();
		fleet.record.write("NOTE %s schedules; the requests go to %s", fleet.scheduler().name, host.name);
		ExecutorService threads = Executors.newCachedThreadPool();
		List<Future<Result>> results = new ArrayList<>();
		for (int number = 0; number < REQUESTS; number++) {
			String id = String.format("a2%014d", number);
			Callable<Result> request = () -> {
				long sent = fleet.record.millis();
				Client.Answer answer = fleet.send(host, "POST", Fleet.PREFIX + id, body(5000, false), DEADLINE_MILLIS);
				return new Result(id, sent, fleet.record.millis(), answer.status());
			};
			results.add(threads.submit(request));
		}
		Fleet.sleep(300);
		long stopped = fleet.record.millis();
		if (trouble) {
			host.terminate();
			while (host.isAlive() && fleet.record.millis() - stopped < GRACE_MILLIS) {
				Fleet.sleep(5);
			}
			fleet.record.write("NOTE the process of %s %s %d ms after the SIGTERM", host.name,
					host.isAlive() ? "is killed" : "has ended", fleet.record.millis() - stopped);
			if (host.isAlive()) {
				host.kill();
			}
		}
		Cases.Result found = Cases.Result.HELD;
		for (Future<Result> future : results) {
			Result result = future.get();
			long held = result.ended() - result.sent();
			boolean judged = held > LOSS_SLACK_MILLIS && held < DEADLINE_MILLIS - 50;
			boolean atWork = fleet.attemptsOf(result.id()).stream().anyMatch((run) -> run.endMillis == 0 || run.endMillis > stopped);
			if (result.status() == 0 && judged && !atWork) {
				fleet.record.write("BROKEN the connection of request %s ended without an answer %d ms after it was sent and"
						+ " %d ms after the SIGTERM; no runner was at work on it", result.id(), held,
						result.ended() - stopped);
				found = Cases.Result.BROKEN;
			}
		}
		threads.shutdownNow();
		return found;
	}

	private static String body(int millis, boolean stored) {
		return "{\"taskSpec\":\"cpu=" + TASK_CPU + " ms=" + millis + "\",\"steps\":[{\"count\":1,\"cpu\":" + TASK_CPU
				+ ",\"memMb\":64,\"estDurationMs\":" + millis + "}]" + (stored ? "" : ",\"bestEffort\":true") + "}";
	}

	private record Result(String id, long sent, long ended, int status) {

	}

}
