import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in of a runner, as the page PROTOCOL describes it: leases on its own clock, fencing
 * tokens, attempts, numbered ends that are listed until they are acknowledged. What a task does
 * stands in its taskSpec. Guarded by its own lock; {@code Record} has a lock of its own.
 */
final class Worker {

	static final long HEARTBEAT_MS = 1500;

	private static final long HOLD_MAX_MS = 1000;

	private static final long STOP_MS = 30;

	private static final long GANG_TIMEOUT_MS = 3000;

	private static final int MAX_LISTED_ENDS = 500;

	final String id;

	private final Main main;

	private final InetSocketAddress address;

	private final String zone;

	private final String rack;

	private final int cpu;

	private HttpServer server;

	private ExecutorService executor;

	/** Counts its lives; a thread of an earlier life has no effect. */
	private int life;

	private boolean up;

	private long bornMs;

	private long bornSteadyMs;

	private long sequence;

	private long token;

	private long leaseEndMs;

	private long nextEnd;

	private boolean draining;

	/** The share of the orders that are carried out late, and not answered. */
	private volatile double lateShare;

	/** Whether it neither answers nor reaches the store; what it runs goes on. */
	private boolean cut;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final List<End> ended = new ArrayList<>();

	private final Map<String, Integer> highest = new HashMap<>();

	Worker(Main main, String id, InetSocketAddress address, String zone, String rack, int cpu) {
		this.main = main;
		this.id = id;
		this.address = address;
		this.zone = zone;
		this.rack = rack;
		this.cpu = cpu;
	}

	synchronized void start() throws IOException {
		this.life++;
		this.up = true;
		this.bornMs = System.currentTimeMillis();
		this.bornSteadyMs = Main.now();
		this.sequence = 0;
		this.token = 0;
		this.leaseEndMs = 0;
		this.nextEnd = 1;
		this.draining = false;
		this.running.clear();
		this.ended.clear();
		this.highest.clear();
		int served = this.life;
		this.executor = Executors.newCachedThreadPool(Main::daemon);
		this.server = HttpServer.create(this.address, 100);
		this.server.setExecutor(this.executor);
		this.server.createContext("/", (exchange) -> handle(served, exchange));
		this.server.start();
		Main.daemon(() -> work(served)).start();
		this.main.record.note("RUNNER %s is up", this.id);
	}

	// A crash: the process is gone, with all that it ran and knew.
	void crash() {
		HttpServer stopped;
		synchronized (this) {
			advance();
			this.up = false;
			this.life++;
			stopped = this.server;
			this.main.record.note("RUNNER %s crashes", this.id);
			for (Run run : this.running.values()) {
				this.main.record.ended(this.id, run.task, run.attempt, "crashed");
				if (run.gang != null) {
					this.main.gangs.left(run.gang, false);
				}
			}
			this.running.clear();
			notifyAll();
		}
		stopped.stop(0);
		this.executor.shutdownNow();
	}

	synchronized void setCut(boolean value) {
		this.main.record.note("RUNNER %s %s", this.id, value ? "is cut off" : "is reached again");
		this.cut = value;
		notifyAll();
	}

	void setLateShare(double share) {
		this.lateShare = share;
	}

	synchronized void drain() {
		this.main.record.note("RUNNER %s drains", this.id);
		this.draining = true;
		writeEntry();
	}

	synchronized boolean runs(String job) {
		return this.running.keySet().stream().anyMatch((task) -> task.startsWith(job + "."));
	}

	synchronized int load() {
		return this.running.size();
	}

	private void work(int served) {
		long nextBeat = 0;
		while (true) {
			synchronized (this) {
				if (this.life != served) {
					return;
				}
				advance();
				if (Main.now() >= nextBeat && !this.cut) {
					nextBeat = Main.now() + HEARTBEAT_MS;
					writeEntry();
				}
			}
			Main.sleep(3);
		}
	}

	private void writeEntry() {
		String entry = "{\"service\":\"" + Main.SERVICE + "\",\"address\":\"" + Main.text(this.address)
				+ "\",\"zone\":\"" + this.zone + "\",\"configVersion\":\"v1\",\"slots\":8,\"state\":\""
				+ (this.draining ? "draining" : "ready") + "\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":" + this.cpu
				+ ",\"memMb\":" + 2 * this.cpu + ",\"gpu\":0},\"labels\":[\"a\",\"" + this.rack + "\"],\"clockMs\":" + clock()
				+ ",\"seqNo\":" + this.sequence++ + ",\"born\":" + this.bornMs + "}";
		this.main.store.putWorker(this.id, entry.getBytes(StandardCharsets.UTF_8));
	}

	private long clock() {
		return 1000 + Main.now() - this.bornSteadyMs;
	}

	private void advance() {
		if (!this.up) {
			return;
		}
		long now = clock();
		if (this.leaseEndMs > 0 && now >= this.leaseEndMs) {
			this.leaseEndMs = 0;
			this.main.record.lapsed(this.id);
			List.copyOf(this.running.values()).forEach((run) -> end(run, "lapsed"));
		}
		for (Run run : List.copyOf(this.running.values())) {
			if (now >= run.dueMs) {
				end(run, run.how);
			}
			else if (run.gang != null && !run.stopping) {
				advanceMember(run, now);
			}
		}
	}

	// The members of a gang work from the moment when all are present, and end together.
	private void advanceMember(Run run, long now) {
		Gangs.State state = this.main.gangs.state(run.gang);
		if (state == Gangs.State.WORKING && run.dueMs == Long.MAX_VALUE) {
			run.dueMs = now + run.workMs;
		}
		else if (state == Gangs.State.BROKEN) {
			end(run, "broken");
		}
		else if (state == Gangs.State.WAITING && Main.now() - run.startMs > GANG_TIMEOUT_MS) {
			end(run, "alone");
		}
	}

	private void end(Run run, String how) {
		this.running.remove(run.task);
		if (run.gang != null) {
			this.main.gangs.left(run.gang, how.equals("done"));
		}
		this.highest.merge(run.task, run.attempt, Math::max);
		this.ended.add(new End(this.nextEnd++, run.task, run.attempt, how));
		this.main.record.ended(this.id, run.task, run.attempt, how);
		notifyAll();
	}

	private void handle(int served, HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String path = exchange.getRequestURI().getPath();
		if (this.lateShare > 0 && this.main.random.nextDouble() < this.lateShare) {
			String target = exchange.getRequestHeaders().getFirst("X-Target-Instance");
			this.main.record.note("RUNNER %s carries out %s later %s", this.id, path, body);
			Main.sleep(2000 + this.main.random.nextInt(10_000));
			synchronized (this) {
				if (this.life == served) {
					carryOut(served, path, target, body);
				}
			}
			return;
		}
		Store.Reply reply;
		synchronized (this) {
			if (awaitReach(served)) {
				reply = carryOut(served, path, exchange.getRequestHeaders().getFirst("X-Target-Instance"), body);
			}
			else {
				reply = null;
			}
			if (reply != null && !awaitReach(served)) {
				reply = null;
			}
		}
		if (reply == null) {
			exchange.close();
			return;
		}
		Main.reply(exchange, reply.status(), reply.body());
	}

	// Waits while it is cut off; returns false for a thread of an earlier life.
	private boolean awaitReach(int served) {
		while (this.cut && this.life == served) {
			try {
				wait(100);
			}
			catch (InterruptedException ex) {
				return false;
			}
		}
		return this.life == served;
	}

	private Store.Reply carryOut(int served, String path, String target, String body) {
		advance();
		if (target != null && !target.equals(this.id)) {
			return answer(421, "");
		}
		long order = Json.number(body, "fencingToken", 0);
		if (order < this.token) {
			return answer(409, "\"reason\":\"fence\"");
		}
		this.token = order;
		this.main.tokenSeen(order);
		return switch (path) {
			case "/api/run-start" -> runStart(body);
			case "/api/run-stop" -> runStop(body);
			case "/api/hold" -> hold(served, body);
			default -> answer(404, "");
		};
	}

	private Store.Reply answer(int status, String fields) {
		return new Store.Reply(status, ("{\"clockMs\":" + clock() + (fields.isEmpty() ? "" : ",") + fields + "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	private void extend(String body) {
		long deadline = Json.number(body, "deadlineMs", 0);
		if (deadline > clock()) {
			this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadline, clock() + HOLD_MAX_MS));
		}
	}

	private Store.Reply runStart(String body) {
		String task = Json.text(body, "task");
		int attempt = (int) Json.number(body, "attempt", 0);
		Run present = this.running.get(task);
		if (present != null && present.attempt == attempt) {
			extend(body);
			return answer(200, "");
		}
		if (present != null || attempt <= this.highest.getOrDefault(task, 0)) {
			extend(body);
			return answer(409, "\"reason\":\"old\"");
		}
		if (Json.number(body, "deadlineMs", 0) <= clock()) {
			return answer(409, "\"reason\":\"late\"");
		}
		extend(body);
		String spec = Json.text(body, "taskSpec");
		boolean fails = this.main.record.started(this.id, task, attempt, spec, this.token,
				Json.text(body, "lastCheckpoint"));
		Run run = new Run(task, attempt, clock() + Job.millis(spec, task), fails ? "failed" : "done");
		int members = this.main.record.gangMembers(task);
		if (members > 0) {
			run.gang = task.substring(0, task.lastIndexOf('.')) + "/" + attempt;
			run.workMs = Job.millis(spec, task);
			run.dueMs = Long.MAX_VALUE;
			this.main.gangs.joined(run.gang, members);
		}
		this.running.put(task, run);
		return answer(200, "");
	}

	private Store.Reply runStop(String body) {
		String task = Json.text(body, "task");
		int attempt = (int) Json.number(body, "attempt", 0);
		Run run = this.running.get(task);
		if (run != null && run.attempt <= attempt && run.dueMs > clock() + STOP_MS) {
			run.dueMs = clock() + STOP_MS;
			run.stopping = true;
			run.how = "stopped";
		}
		this.highest.merge(task, attempt, Math::max);
		return answer(200, "");
	}

	private Store.Reply hold(int served, String body) {
		extend(body);
		long cursor = Json.number(body, "ackCursor", 0);
		while (!this.ended.isEmpty() && this.ended.get(0).number <= cursor) {
			End end = this.ended.remove(0);
			this.main.record.noted(this.id, end.task, end.attempt);
		}
		long until = Main.now() + Math.min(2000, Json.number(body, "waitMs", 0));
		while (this.ended.isEmpty() && Main.now() < until && this.life == served) {
			try {
				wait(Math.max(1, until - Main.now()));
			}
			catch (InterruptedException ex) {
				break;
			}
		}
		if (this.life != served) {
			return null;
		}
		StringBuilder runningRows = new StringBuilder();
		for (Run run : this.running.values()) {
			runningRows.append((runningRows.length() > 0) ? "," : "")
				.append("[\"" + run.task + "\"," + run.attempt + ",\"\"," + run.percent(clock()) + ",0]");
		}
		StringBuilder endedRows = new StringBuilder();
		for (End end : this.ended.subList(0, Math.min(MAX_LISTED_ENDS, this.ended.size()))) {
			endedRows.append((endedRows.length() > 0) ? "," : "")
				.append("[" + end.number + ",\"" + end.task + "\"," + end.attempt + ",\"" + end.how + "\",\"\"]");
		}
		return answer(200,
				"\"born\":" + this.bornMs + ",\"running\":[" + runningRows + "],\"ended\":[" + endedRows + "]");
	}

	private static final class Run {

		final String task;

		final int attempt;

		final long startMs;

		long dueMs;

		String how;

		boolean stopping;

		/** The gang and its run, null for another task. */
		String gang;

		long workMs;

		Run(String task, int attempt, long dueMs, String how) {
			this.task = task;
			this.attempt = attempt;
			this.startMs = Main.now();
			this.dueMs = dueMs;
			this.how = how;
		}

		// A task that lasts is at work, and says so with 100.
		long percent(long clock) {
			if (this.dueMs == Long.MAX_VALUE) {
				return 0;
			}
			long total = this.dueMs - clock;
			long worked = Main.now() - this.startMs;
			return (total > 1_000_000) ? 100 : Math.min(99, 100 * worked / Math.max(1, worked + total));
		}

	}

	private record End(long number, String task, int attempt, String how) {

	}

}
