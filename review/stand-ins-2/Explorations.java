import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was tried beside the cases: random trouble, odd jobs, many jobs. Not run by any script. */
final class Explorations {

	private Explorations() {
	}

	static Main open(String name, Path record, Path folder) throws Exception {
		return switch (name) {
			case "mix", "backlog" -> new Main(record, folder, Integer.getInteger("hosts", 4), 12, 16_000);
			case "crash", "cancel", "fuzz", "copies" -> new Main(record, folder, 3, 15, 16_000);
			case "stops", "large" -> new Main(record, folder, 3, 15, 64_000);
			default -> throw new IllegalArgumentException("there is no case " + name);
		};
	}

	static void run(String name, Main main, boolean trouble) throws Exception {
		switch (name) {
			case "mix" -> mix(main, trouble);
			case "fuzz" -> fuzz(main);
			case "copies" -> copies(main);
			case "crash" -> crash(main, trouble);
			case "cancel" -> cancel(main, trouble);
			case "stops" -> stops(main, trouble);
			case "large" -> large(main, trouble);
			case "backlog" -> backlog(main, trouble);
			default -> throw new IllegalArgumentException(name);
		}
	}

	// Trouble of all kinds beside stored jobs.
	private static void mix(Main main, boolean trouble) throws Exception {
		main.start(2);
		java.util.Random random = main.random;
		long seed = Long.getLong("seed", random.nextLong());
		random.setSeed(seed);
		main.record.note("SEED %d", seed);
		long end = Main.now() + 75_000;
		List<Job> jobs = new ArrayList<>();
		List<Job> toCancel = new ArrayList<>();
		Thread traffic = Main.daemon(() -> {
			while (Main.now() < end) {
				Job job = main.job(false);
				switch (random.nextInt(8)) {
					case 0 -> job.step(4, 2000, 200).step(3, 2000, 600, 0);
					case 1 -> job.step(2, 6800, 1500);
					case 2 -> job.step(2, 6800, 300).step(2, 3000, 3000, 0);
					case 3 -> job.step(3, 2000, 500).failing(1);
					case 4 -> job.step(1, 4000, 700).failing(2);
					case 5 -> job.gang(6, 2000, 1200);
					case 6 -> job.step(1, 6800, 6000);
					default -> job.step(8, 3000, 50);
				}
				main.submit(job);
				jobs.add(job);
				if (random.nextInt(5) == 0) {
					Main.daemon(() -> {
						Main.sleep(500 + random.nextInt(2500));
						if (main.record.isAccepted(job)) {
							for (int tries = 0; tries < 20; tries++) {
								int status = main.cancel(job, main.any());
								if (status / 100 == 2 || status == 410) {
									break;
								}
								Main.sleep(400);
							}
						}
					}).start();
				}
				else if (random.nextInt(6) == 0) {
					Main.daemon(() -> {
						Main.sleep(2000 + random.nextInt(3000));
						main.submitOnce(job, main.any());
					}).start();
				}
				Main.sleep(150 + random.nextInt(250));
			}
		});
		List<Job> lasting = new ArrayList<>();
		for (int number = 0; number < 6; number++) {
			Job job = main.job(false).lasting(2, 1500);
			lasting.add(job);
			main.submit(job);
		}
		traffic.start();
		Thread looks = Main.daemon(() -> {
			while (Main.now() < end) {
				Job job = jobs.isEmpty() ? null : jobs.get(random.nextInt(jobs.size()));
				if (job != null && main.record.isAccepted(job)) {
					main.show(job, main.any());
				}
				Main.sleep(60);
			}
		});
		looks.start();
		String only = System.getProperty("only", "");
		while (trouble && Main.now() < end) {
			Main.sleep(1500 + random.nextInt(5000));
			int kinds = 1 + random.nextInt(2);
			for (int kind = 0; kind < kinds; kind++) {
				int choice = random.nextInt(15);
				main.record.note("TROUBLE %d", choice);
				Worker worker = main.workers.get(random.nextInt(main.workers.size()));
				Host host = (random.nextInt(3) > 0) ? main.scheduler() : main.any();
				Main.daemon(() -> {
					try {
						trouble(main, choice, worker, host);
					}
					catch (Exception ex) {
						main.record.note("TROUBLE FAILED %s", ex);
					}
				}).start();
			}
		}
		traffic.join();
		Main.sleep(16_000);
		List<Job> accepted = jobs.stream().filter(main.record::isAccepted).toList();
		main.record.finish(Cases.await(main, accepted, 14_000));
		for (Job job : lasting) {
			String state = main.show(job, main.any());
			main.record.note("LASTING %s %s runs %d", job.id, state, main.record.runningOf(job));
			if (main.record.isAccepted(job) && main.record.runningOf(job) < 2 && !state.equals("failed")) {
				main.record.broken("LOST", "lasting job %s has %d of 2 tasks at work", job.id, main.record.runningOf(job));
			}
		}
	}

	private static void trouble(Main main, int choice, Worker worker, Host host) throws Exception {
		java.util.Random random = main.random;
		switch (choice) {
			case 0, 1 -> {
				if (host.isAlive()) {
					host.kill();
					Main.sleep(500 + random.nextInt(3000));
					host.start();
				}
			}
			case 2, 3 -> {
				if (host.isAlive()) {
					host.signal("STOP");
					Main.sleep(800 + random.nextInt(3200));
					host.signal("CONT");
				}
			}
			case 4 -> {
				if (host.isAlive()) {
					host.terminate();
					Main.sleep(300);
					host.start();
				}
			}
			case 5 -> store(main, List.of(host), Store.Mode.BUSY, 4500);
			case 6 -> store(main, List.of(host), Store.Mode.SILENT, 4500 + random.nextInt(7500));
			case 7 -> store(main, main.hosts, Store.Mode.SILENT, 4500);
			case 8 -> store(main, main.hosts, Store.Mode.ANSWER_LOST, 1000 + random.nextInt(3500));
			case 9 -> store(main, List.of(host), Store.Mode.ANSWER_LOST, 1000 + random.nextInt(3500));
			case 10 -> {
				worker.setCut(true);
				Main.sleep(1000 + random.nextInt(4500));
				worker.setCut(false);
			}
			case 12, 13 -> {
				main.record.note("LATE ORDERS");
				main.workers.forEach((each) -> each.setLateShare(Double.parseDouble(System.getProperty("late", "0.15"))));
				Main.sleep(5500);
				main.workers.forEach((each) -> each.setLateShare(0));
				main.record.note("LATE ORDERS END");
			}
			case 14 -> {
				worker.drain();
				Main.sleep(3000 + random.nextInt(3000));
				worker.crash();
				Main.sleep(2000);
				worker.start();
			}
			default -> {
				worker.crash();
				Main.sleep(500 + random.nextInt(4300));
				worker.start();
			}
		}
	}

	private static void store(Main main, List<Host> hosts, Store.Mode mode, long millis) {
		main.record.note("STORE %s for %s", mode, hosts.stream().map((host) -> host.name).toList());
		hosts.forEach((host) -> {
			main.store.setMode(host.number, mode);
			host.disturb();
		});
		Main.sleep(millis);
		hosts.forEach((host) -> {
			main.store.setMode(host.number, Store.Mode.SERVED);
			host.disturb();
		});
		main.record.note("STORE SERVED again");
	}

	// Jobs are cancelled, the scheduler is killed, and copies of their requests arrive seconds later.
	private static void copies(Main main) throws Exception {
		main.start(2);
		for (int round = 0; round < 6; round++) {
			List<Job> jobs = new ArrayList<>();
			for (int number = 0; number < 8; number++) {
				Job job = main.job(false).step(2, 2000, 1500).step(2, 2000, 1500, 0);
				jobs.add(job);
				main.submit(job);
				Main.sleep(30);
			}
			Main.sleep(1500);
			for (Job job : jobs) {
				if (main.record.isAccepted(job)) {
					for (int tries = 0; tries < 20 && main.cancel(job, main.any()) == 503; tries++) {
						Main.sleep(300);
					}
				}
			}
			Host scheduler = main.scheduler();
			scheduler.kill();
			Main.sleep(1500);
			scheduler.start();
			for (Job job : jobs) {
				main.submitOnce(job, main.any());
				main.show(job, main.any());
			}
			Main.sleep(4000);
			for (Job job : jobs) {
				main.show(job, main.any());
			}
		}
		main.record.finish(List.of());
	}

	private static void fuzz(Main main) throws Exception {
		main.start(3);
		java.util.Random random = main.random;
		List<Job> jobs = new ArrayList<>();
		String[] extras = { "\"fills\":true", "\"savesProgress\":true", "\"dataRack\":\"r1-2\"", "\"dataRack\":\"r9-9\"",
				"\"requiredLabel\":\"a\"", "\"maxPerServer\":1", "\"maxPerServer\":2", "\"targetMs\":40", "\"sameRack\":true",
				"\"speculative\":true", "\"image\":\"x\"", "\"mayMiss\":1", "\"estDurationMs\":0", "\"estDurationMs\":1",
				"\"estDurationMs\":9000000", "\"gang\":true" };
		for (int number = 0; number < 300; number++) {
			Job job = main.job(random.nextInt(4) == 0);
			int steps = 1 + random.nextInt(4);
			boolean gang = false;
			for (int step = 0; step < steps; step++) {
				int cpu = new int[] { 0, 1, 100, 2000, 6800, 15000 }[random.nextInt(6)];
				int count = 1 + random.nextInt(8);
				if (step > 0 && random.nextBoolean()) {
					job.step(count, cpu, 1 + random.nextInt(300), random.nextInt(step));
				}
				else {
					job.step(count, cpu, 1 + random.nextInt(300));
				}
				for (int extra = 0; extra < random.nextInt(3); extra++) {
					String field = extras[random.nextInt(extras.length - 1)];
					String name = field.split(":")[0];
					if (!job.extras.getOrDefault(step, "").contains(name)) {
						job.with(field);
					}
				}
			}
			job.memMb = new int[] { 0, 64, 1024 }[random.nextInt(3)];
			jobs.add(job);
			main.submit(job);
			main.record.note("JOB %s", job.body());
			Main.sleep(60);
		}
		Main.sleep(5000);
		main.record.finish(Cases.await(main, jobs.stream().filter((job) -> !job.bestEffort && main.record.isAccepted(job)).toList(), 30_000));
	}

	// Many jobs of many small tasks are cancelled at once, beside a job that lasts.
	private static void stops(Main main, boolean trouble) throws Exception {
		main.start(4);
		List<Job> many = new ArrayList<>();
		for (int number = 0; number < Integer.getInteger("jobs", 8); number++) {
			Job job = main.job(false).step(Integer.getInteger("w", 120), 50, 100_000);
			job.memMb = 16;
			many.add(job);
			main.submit(job);
			Main.sleep(500);
		}
		main.awaitAccepted(many, 10_000);
		Job lasting = main.job(false).lasting(10, 1000);
		lasting.maxPerServer = 1;
		lasting.mayMiss = 1;
		main.submit(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		Main.sleep(6000);
		main.record.note("LOADS %s", main.workers.stream().map(Worker::load).toList());
		if (trouble) {
			for (Job job : many) {
				Main.daemon(() -> {
					for (int tries = 0; tries < 20 && main.cancel(job, main.any()) == 503; tries++) {
						Main.sleep(300);
					}
				}).start();
			}
		}
		Main.sleep(15_000);
		main.record.finish(List.of());
	}

	// Large jobs of small tasks come at once, beside a job that lasts.
	private static void large(Main main, boolean trouble) throws Exception {
		main.start(4);
		Job lasting = main.job(false).lasting(10, 1000);
		lasting.maxPerServer = 1;
		lasting.mayMiss = 1;
		main.submit(lasting);
		main.awaitAccepted(List.of(lasting), 10_000);
		Main.sleep(3000);
		List<Job> many = new ArrayList<>();
		for (int number = 0; number < Integer.getInteger("jobs", 2); number++) {
			Job job = main.job(false).step(trouble ? Integer.getInteger("w", 120) : 12, Integer.getInteger("cpu", 500), Integer.getInteger("dur", 2000));
			job.memMb = 16;
			many.add(job);
			main.submit(job);
		}
		Main.sleep(3000);
		main.record.finish(Cases.await(main, many.stream().filter(main.record::isAccepted).toList(), 45_000));
	}

	private static void backlog(Main main, boolean trouble) throws Exception {
		main.start(4);
		int n = Integer.getInteger("n", 4000);
		java.util.concurrent.ExecutorService pool = java.util.concurrent.Executors.newFixedThreadPool(60, Main::daemon);
		java.util.concurrent.atomic.AtomicInteger accepted = new java.util.concurrent.atomic.AtomicInteger();
		String pad = "/" + "x".repeat(Integer.getInteger("pad", 100));
		for (int number = 0; number < n; number++) {
			Job job = main.job(false).step(Integer.getInteger("w", 8), 6800, 200);
			job.pad = pad;
			main.record.created(job);
			pool.execute(() -> {
				Client.Answer answer = Client.call(main.any().callers, "POST", Main.PREFIX + job.id, job.body(), 10_000);
				if (answer.status() == 200) {
					accepted.incrementAndGet();
				}
			});
			Main.sleep(number % 4 == 0 ? Integer.getInteger("ms", 17) : 0);
			if (number % 500 == 0) {
				main.record.note("SENT %d ACCEPTED %d", number, accepted.get());
			}
		}
		for (int k = 0; k < 20; k++) {
			Main.sleep(1000);
			main.record.note("ACCEPTED %d", accepted.get());
		}
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
		main.record.finish(Cases.await(main, List.of(job), 20_000));
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

}
