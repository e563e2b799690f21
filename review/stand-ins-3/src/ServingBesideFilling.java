/** A lasting job that serves users loses a runner, while a lasting job that fills has a task on each other runner. */
final class ServingBesideFilling {

	private static final String SERVING = "a100000000000013";

	private static final String FILLING = "a200000000000013";

	private static final int RUNNERS = 8;

	private static final int SERVING_TASKS = 4;

	private static final int SERVING_CPU = 10_000;

	private static final int RUNNER_CPU = 16_000;

	/** A task that lasts is owed to run again this long after its last run. */
	private static final long LASTING_MILLIS = 6000;

	private static final long FINISH_MILLIS = 14_000;

	private static final long NOTHING_RUNNING_MILLIS = 3000;

	private static final long WATCH_MILLIS = 45_000;

	private ServingBesideFilling() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(RUNNER_CPU);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		Fleet.Host host = fleet.hosts.get(0);
		fleet.submit(host, SERVING,
				"{\"taskSpec\":\"cpu=" + SERVING_CPU + " ms=0\",\"steps\":[{\"count\":" + SERVING_TASKS + ",\"cpu\":"
						+ SERVING_CPU + ",\"memMb\":256,\"estDurationMs\":1000,\"perpetual\":true,\"image\":\"panel\","
						+ "\"targetMs\":200}]}");
		fleet.await(10_000, "the serving tasks", () -> fleet.running(SERVING) == SERVING_TASKS);
		fleet.submit(host, FILLING, "{\"taskSpec\":\"cpu=0 ms=0\",\"steps\":[{\"count\":" + (RUNNERS - SERVING_TASKS)
				+ ",\"cpu\":2000,\"memMb\":256,\"estDurationMs\":1000,\"perpetual\":true,\"image\":\"reports\",\"fills\":true,"
				+ "\"maxPerServer\":1}]}");
		fleet.await(10_000, "the filling tasks", () -> fleet.running(FILLING) == RUNNERS - SERVING_TASKS);
		Fleet.sleep(2000);
		if (trouble) {
			Runner runner = fleet.runners.stream().filter((one) -> one.runs(SERVING)).findFirst().orElseThrow();
			runner.crash();
		}
		long fault = fleet.record.millis();
		long idleSince = -1;
		boolean broken = false;
		while (fleet.record.millis() - fault < WATCH_MILLIS) {
			Fleet.sleep(20);
			long sinceFault = fleet.record.millis() - fault;
			long room = fleet.runners.stream()
				.filter((runner) -> runner.isUp() && runner.cpu() - runner.usedCpu() >= SERVING_CPU)
				.count();
			boolean missing = fleet.running(SERVING) < SERVING_TASKS;
			if (sinceFault < Math.max(LASTING_MILLIS, FINISH_MILLIS) || !missing || room < 2 || fleet.usedShare() >= 0.5) {
				idleSince = -1;
			}
			else if (idleSince < 0) {
				idleSince = fleet.record.millis();
			}
			else if (!broken && fleet.record.millis() - idleSince > NOTHING_RUNNING_MILLIS) {
				broken = true;
				fleet.record.write("BROKEN a task of job %s has not run for %d ms since its runner was lost; %d runners"
						+ " have %d cores free for it, %.0f %% of the capacity is in use", SERVING, sinceFault, room,
						SERVING_CPU / 1000, 100 * fleet.usedShare());
			}
			if (!trouble && sinceFault > FINISH_MILLIS + NOTHING_RUNNING_MILLIS + 1000) {
				break;
			}
		}
		fleet.state(fleet.hosts.get(1), SERVING);
		fleet.record.write("NOTE at the end %d of %d serving tasks run, and %d filling ones", fleet.running(SERVING),
				SERVING_TASKS, fleet.running(FILLING));
		return broken ? Cases.Result.BROKEN : Cases.Result.HELD;
	}

}
