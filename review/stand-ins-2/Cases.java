import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The cases, each a small deployment and what happens to it. */
final class Cases {

	private static final int CORES_16 = 16_000;

	private static final int CORES_64 = 64_000;

	private Cases() {
	}

	static Main open(String name, Path record, Path folder) throws Exception {
		return switch (name) {
			case "crash", "starved", "fills", "cancel" -> new Main(record, folder, 3, 15, CORES_16);
			case "gang" -> new Main(record, folder, 3, 15, CORES_64);
			default -> Explorations.open(name, record, folder);
		};
	}

	static void run(String name, Main main, boolean trouble) throws Exception {
		switch (name) {
			case "crash" -> crash(main, trouble);
			case "starved" -> starved(main, trouble);
			case "gang" -> gang(main, trouble);
			case "fills" -> fills(main, trouble);
			case "cancel" -> cancel(main, trouble);
			default -> Explorations.run(name, main, trouble);
		}
	}

	// Asks for jobs until all are shown as ended, or the time is over; returns the others.
	static List<Job> await(Main main, List<Job> jobs, long limitMs) {
		List<Job> open = new ArrayList<>(jobs);
		long until = Main.now() + limitMs;
		while (!open.isEmpty() && Main.now() < until) {
			open.removeIf((job) -> {
				String state = main.show(job, main.any());
				return state.equals("completed") || state.equals("failed") || state.equals("canceled")
						|| (state.equals("410") && main.record.cancelledMs(job) >= 0);
			});
			Main.sleep(300);
		}
		return open;
	}

	// The runners of two stored jobs crash, twice. No run of either job ends 'failed'.
	private static void crash(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job job = main.job(false).step(1, 6800, 8000);
		Job lasting = main.job(false).lasting(1, 6800);
		main.submit(job);
		main.submit(lasting);
		main.awaitAccepted(List.of(job, lasting), 10_000);
		for (int round = 0; trouble && round < 2; round++) {
			List<Worker> crashed = new ArrayList<>();
			long until = Main.now() + 12_000;
			while (crashed.size() < 2 && Main.now() < until) {
				Main.sleep(20);
				crashed.clear();
				for (Job crashing : List.of(job, lasting)) {
					main.workers.stream().filter((worker) -> worker.runs(crashing.id)).findFirst().ifPresent(crashed::add);
				}
			}
			Main.sleep(2000);
			crashed.stream().distinct().forEach(Worker::crash);
			Main.sleep(4500);
			for (Worker worker : crashed.stream().distinct().toList()) {
				worker.start();
			}
		}
		long until = Main.now() + 20_000;
		while (Main.now() < until) {
			main.show(job, main.any());
			main.show(lasting, main.any());
			Main.sleep(500);
		}
		main.record.finish(await(main, List.of(job), 20_000));
	}

	// Each runner has a task that lasts. The runner of another job crashes twice, each time beside
	// such a task.
	private static void starved(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job lasting = main.job(false).lasting(main.workers.size(), 1000);
		lasting.maxPerServer = 1;
		main.submit(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		awaitLoad(main, 1);
		Job job = main.job(false).step(1, 2000, 8000);
		main.submit(job);
		main.awaitAccepted(List.of(job), 10_000);
		for (int round = 0; trouble && round < 2; round++) {
			long until = Main.now() + 12_000;
			Worker at = null;
			while (at == null && Main.now() < until) {
				Main.sleep(20);
				at = main.workers.stream().filter((worker) -> worker.runs(job.id)).findFirst().orElse(null);
			}
			if (at == null) {
				break;
			}
			Main.sleep(2000);
			at.crash();
			Main.sleep(4500);
			at.start();
		}
		main.record.finish(await(main, List.of(job), 50_000));
	}

	// The hosts have run for a while before the case begins.
	private static void warmUp(Main main) {
		for (int round = 0; round < 20; round++) {
			main.submit(main.job(false).step(15, 20_000, 60));
			Main.sleep(200);
		}
		Main.sleep(1000);
	}

	// While other jobs use most of each runner, two gangs of small tasks start on several runners,
	// one that ends and one that lasts. A runner of each crashes; by then the other jobs have ended,
	// and the gangs have to start again.
	private static void gang(Main main, boolean trouble) throws Exception {
		main.start(4);
		warmUp(main);
		List<Job> jobs = new ArrayList<>();
		for (int number = 0; number < main.workers.size(); number++) {
			Job other = main.job(false).step(1, 50_000, 8000);
			jobs.add(other);
			main.submit(other);
		}
		main.awaitAccepted(jobs, 10_000);
		long until = Main.now() + 5000;
		while (main.workers.stream().anyMatch((worker) -> worker.load() == 0) && Main.now() < until) {
			Main.sleep(20);
		}
		Job gang = main.job(false).gang(48, 1000, 14_000);
		Job lasting = main.job(false).lastingGang(48, 1000);
		main.submit(gang);
		main.submit(lasting);
		main.awaitAccepted(List.of(gang, lasting), 5000);
		Main.sleep(10_000);
		if (trouble) {
			List<Worker> crashed = new ArrayList<>();
			for (Job job : List.of(gang, lasting)) {
				main.workers.stream()
					.filter((worker) -> worker.runs(job.id) && !crashed.contains(worker))
					.findFirst()
					.ifPresent(crashed::add);
			}
			crashed.forEach(Worker::crash);
			main.record.disturbed();
			Main.sleep(4500);
			for (Worker worker : crashed) {
				worker.start();
			}
			main.record.disturbed();
		}
		jobs.add(gang);
		main.record.finish(await(main, jobs, 45_000));
		Main.sleep(Math.max(0, main.startedMs + 80_000 - Main.now()));
	}

	// A job that fills runs on the only runner that has no task with a target. That runner is lost.
	private static void fills(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job serving = main.job(false).lasting(main.workers.size() - 1, 1000).with("\"targetMs\":40");
		serving.maxPerServer = 1;
		main.submit(serving);
		main.awaitAccepted(List.of(serving), 10_000);
		Main.sleep(3000);
		Job job = main.job(false).step(1, 2000, 8000).with("\"fills\":true");
		main.submit(job);
		main.awaitAccepted(List.of(job), 10_000);
		Main.sleep(3000);
		if (trouble) {
			main.workers.stream().filter((worker) -> worker.runs(job.id)).findFirst().orElseThrow().crash();
		}
		main.record.finish(await(main, List.of(job), 40_000));
	}

	// A client that waits for a job which needn't be kept cancels it on a new connection. With
	// trouble that reaches another host than the one at which the client waits.
	private static void cancel(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job job = main.job(true).step(1, 6800, 5000).step(1, 6800, 5000, 0);
		main.record.created(job);
		Host waitsAt = main.any();
		Thread waiting = Main.daemon(() -> main.submitOnce(job, waitsAt));
		waiting.start();
		Main.sleep(1500);
		Host other = main.hosts.stream().filter((host) -> host != waitsAt).findFirst().orElseThrow();
		main.cancel(job, trouble ? other : waitsAt);
		Main.sleep(12_000);
		main.record.finish(List.of());
	}

	private static void awaitLoad(Main main, int load) {
		long until = Main.now() + 8000;
		while (main.workers.stream().anyMatch((worker) -> worker.load() < load) && Main.now() < until) {
			Main.sleep(50);
		}
	}

}
