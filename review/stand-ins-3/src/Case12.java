/** A lasting job whose runner crashes twice. */
final class Case12 {

	private static final String LASTING = "a100000000000012";

	private static final int RUNNERS = 8;

	private static final long OUTAGE_MILLIS = 3000;

	private static final long WATCH_MILLIS = 25_000;

	private Case12() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(16_000);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		Fleet.Host host = fleet.hosts.get(0);
		fleet.submit(host, LASTING, "{\"taskSpec\":\"cpu=4000 ms=0\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":64,"
				+ "\"estDurationMs\":1000,\"perpetual\":true}]}");
		for (int crash = 0; crash < 2; crash++) {
			fleet.await(15_000, "a run of the lasting task", () -> fleet.isRunning(LASTING));
			Fleet.sleep(1500);
			if (trouble) {
				Runner runner = fleet.runners.stream().filter((one) -> one.runs(LASTING)).findFirst().orElseThrow();
				runner.crash();
				Fleet.sleep(OUTAGE_MILLIS);
				runner.start();
			}
		}
		fleet.record.write("CALM from here on; no fault comes");
		long calm = fleet.record.millis();
		while (fleet.record.millis() - calm < WATCH_MILLIS) {
			Fleet.sleep(1000);
			for (Fleet.Host asked : fleet.hosts.subList(1, 3)) {
				String state = fleet.state(asked, LASTING);
				if (state.equals("failed") || state.equals("canceled") || state.equals("completed") || state.equals("410")) {
					boolean failedEnd = fleet.attemptsOf(LASTING).stream().anyMatch((run) -> "failed".equals(run.how));
					fleet.record.write("BROKEN job %s, which nobody has cancelled and of which no run has ended 'failed'"
							+ " (%s), is shown as %s", LASTING, failedEnd ? "one has" : "none has", state);
					for (Fleet.Host each : fleet.hosts) {
						each.copyLog("LG1315");
						each.copyLog(LASTING);
					}
					return Cases.Result.BROKEN;
				}
			}
		}
		return Cases.Result.HELD;
	}

}
