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
			case "starved", "fills", "pending", "foreign" -> new Main(record, folder, 3, 15, CORES_16);
			case "gang" -> new Main(record, folder, 3, 15, CORES_64);
			default -> Explorations.open(name, record, folder);
		};
	}

	static void run(String name, Main main, boolean trouble) throws Exception {
		switch (name) {
			case "starved" -> starved(main, trouble);
			case "gang" -> gang(main, trouble);
			case "fills" -> fills(main, trouble);
			case "pending" -> pending(main, trouble);
			case "foreign" -> foreign(main, trouble);
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

	// Each runner has a task that lasts. The runner of another job is cut off, so that what it runs
	// lapses, and starts again behind the cut; then the same on the runner where the job goes on.
	private static void starved(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job lasting = main.job(false).lasting(main.workers.size(), 1000);
		lasting.maxPerServer = 1;
		main.submitUntilAccepted(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		awaitLoad(main, 1);
		Job job = main.job(false).step(1, 2000, 20_000);
		main.submitUntilAccepted(job);
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
			at.setCut(true);
			Main.sleep(4000);
			at.crash();
			at.start();
			Main.sleep(1400);
			at.setCut(false);
			if (round == 0) {
				awaitLoad(main, 1);
			}
		}
		main.record.finish(await(main, List.of(job), 30_000));
	}

	// The hosts have run for a while before the case begins.
	private static void warmUp(Main main) {
		for (int round = 0; round < 20; round++) {
			main.submit(main.job(false).step(15, 20_000, 60));
			Main.sleep(200);
		}
		Main.sleep(1000);
	}

	// While other jobs use most of each runner, a gang of small tasks that lasts starts on several
	// runners. One of them crashes; by then the other jobs have ended, and the gang has to start
	// again.
	private static void gang(Main main, boolean trouble) throws Exception {
		main.start(4);
		warmUp(main);
		List<Job> jobs = new ArrayList<>();
		for (int number = 0; number < main.workers.size(); number++) {
			Job other = main.job(false).step(1, 58_000, 10_000);
			jobs.add(other);
			main.submitUntilAccepted(other);
		}
		main.awaitAccepted(jobs, 15_000);
		awaitLoad(main, 1);
		Job gang = main.job(false).lastingGang(48, 1000);
		main.submitUntilAccepted(gang);
		main.awaitAccepted(List.of(gang), 10_000);
		Main.sleep(12_000);
		if (trouble) {
			Worker at = main.workers.stream().filter((worker) -> worker.runs(gang.id)).findFirst().orElseThrow();
			at.crash();
			main.record.disturbed();
			Main.sleep(4300);
			at.start();
			main.record.disturbed();
		}
		main.record.finish(await(main, jobs, 15_000));
		Main.sleep(Math.max(0, main.startedMs + 60_000 - Main.now()));
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

	private static void awaitLoad(Main main, int load) {
		long until = Main.now() + 12_000;
		while (main.workers.stream().anyMatch((worker) -> worker.load() < load) && Main.now() < until) {
			Main.sleep(50);
		}
	}

	// All runners but one are taken by a job that lasts. The one that is free is lost for good, and
	// clients hand jobs in, which wait. The hosts are asked how many do.
	private static void pending(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job lasting = main.job(false).lasting(main.workers.size() - 1, 15_900);
		main.submit(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		long until = Main.now() + 8000;
		while (main.workers.stream().filter((worker) -> worker.load() > 0).count() < main.workers.size() - 1
				&& Main.now() < until) {
			Main.sleep(50);
		}
		Worker free = main.workers.stream().filter((worker) -> worker.load() == 0).findFirst().orElseThrow();
		Main.sleep(1000);
		if (trouble) {
			free.setCut(true);
			main.record.note("RUNNER %s is lost for good, and silent", free.id);
		}
		List<Job> waiting = new ArrayList<>();
		for (int number = 0; number < 16; number++) {
			Job job = main.job(false).step(1, 500, 1000);
			waiting.add(job);
			main.submit(job);
			Main.sleep(8);
		}
		main.awaitAccepted(waiting, 10_000);
		for (int look = 0; look < 20; look++) {
			Main.sleep(1000);
			main.hosts.forEach(main::showPending);
		}
		main.record.finish(List.of());
	}

	// An entry of another writer, of a service that no configuration names and with an address at
	// which nobody answers, stands in the list. The host that schedules freezes.
	private static void foreign(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job lasting = main.job(false).lasting(6, 1000);
		main.submit(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		if (trouble) {
			Main.daemon(main::writeForeignEntry).start();
		}
		Main.sleep(6000);
		if (trouble) {
			Host scheduler = main.scheduler();
			scheduler.signal("STOP");
			Main.sleep(2000);
			scheduler.signal("CONT");
			main.record.disturbed();
		}
		for (int look = 0; look < 20; look++) {
			Main.sleep(1000);
			main.show(lasting, main.any());
		}
		main.record.finish(List.of());
	}

}
