import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A runner as the users' pages describe it: fencing tokens, one lease for all that runs, ends that are listed until they
 * are acknowledged, attempts that rise, 421 for another X-Target-Instance. It does not guard its capacity. A taskSpec
 * holds "ms=N" (how long a task works) or "ms=0" (until it is stopped).
 */
final class Runner {

	private static final long MAX_LEASE_MILLIS = 1000;

	private static final long STOP_NANOS = 20_000_000;

	private static final long HEARTBEAT_MILLIS = 1500;

	private static final int BIND_TRIES = 25;

	private static final int MAX_LISTED = 500;

	private final Fleet fleet;

	final String name;

	private final String id;

	private final String zone;

	private final String rack;

	private final int cpu;

	private final String kind;

	private final double speed;

	private int port;

	private Server server;

	private int life;

	private boolean up;

	private boolean draining;

	private long bornMillis;

	private long bornNanos;

	private long heartbeatNanos;

	private long seqNo;

	private long token;

	private long leaseEnd;

	private long nextEnd;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final List<End> ended = new ArrayList<>();

	private final Map<String, Integer> highest = new HashMap<>();

	/** Whether the store does not hear it, while the hosts reach it. */
	private volatile int cuts;

	/** An unhealthy runner answers each start with 503 and does nothing. */
	volatile boolean refusesStarts;

	Runner(Fleet fleet, String name, String zone, String rack, int cpu, String kind, double speed) {
		this.fleet = fleet;
		this.name = name;
		this.id = "i-" + Long.toHexString(0x5a000000L + fleet.runners.size() * 7919L);
		this.zone = zone;
		this.rack = rack;
		this.cpu = cpu;
		this.kind = kind;
		this.speed = speed;
	}

	synchronized void start() throws IOException {
		this.life++;
		this.up = true;
		this.draining = false;
		this.bornMillis = System.currentTimeMillis();
		this.bornNanos = System.nanoTime();
		this.seqNo = 0;
		this.token = 0;
		this.leaseEnd = 0;
		this.nextEnd = 1;
		this.running.clear();
		this.ended.clear();
		this.highest.clear();
		int servedLife = this.life;
		this.server = listen((exchange, body) -> handle(servedLife, exchange.getRequestURI().getPath(),
				exchange.getRequestHeaders().getFirst("X-Target-Instance"), body));
		this.port = this.server.port();
		this.fleet.record.write("RUNNER %s (%s) up at port %d, born %d", this.name, this.id, this.port, this.bornMillis);
		heartbeat();
	}

	// Listens at the port that it had, or at another one if a connection of this machine uses it meanwhile.
	private Server listen(Server.Handler handler) throws IOException {
		for (int tries = 0; tries < BIND_TRIES; tries++) {
			try {
				return new Server("127.0.0.1", this.port, handler);
			}
			catch (BindException ex) {
				Fleet.sleep(20);
			}
		}
		return new Server("127.0.0.1", 0, handler);
	}

	/** The process ends without a word: all that runs is gone, and connections are refused. */
	synchronized void crash() {
		this.fleet.record.write("FAULT runner %s crashes", this.name);
		this.life++;
		this.up = false;
		List<Run> lost = List.copyOf(this.running.values());
		this.running.clear();
		lost.forEach((run) -> this.fleet.ended(this, run, "crashed"));
		notifyAll();
		this.server.stop();
	}

	synchronized boolean isUp() {
		return this.up;
	}

	synchronized boolean runs(String jobPrefix) {
		return this.running.keySet().stream().anyMatch((task) -> task.startsWith(jobPrefix));
	}

	synchronized int usedCpu() {
		return this.running.values().stream().mapToInt((run) -> run.cpu).sum();
	}

	int cpu() {
		return this.cpu;
	}

	private void heartbeat() {
		this.heartbeatNanos = System.nanoTime();
		String entry = "{\"service\":\"rondas\",\"address\":\"127.0.0.1:" + this.port + "\",\"zone\":\"" + this.zone
				+ "\",\"configVersion\":\"v1\",\"slots\":8,\"state\":\"" + (this.draining ? "draining" : "ready")
				+ "\",\"coldRemainingMs\":0,\"capacity\":{\"cpu\":" + this.cpu
				+ ",\"memMb\":32768,\"gpu\":0},\"labels\":[\"" + this.kind + "\",\"" + this.rack + "\"],\"clockMs\":" + clock()
				+ ",\"seqNo\":" + this.seqNo++ + ",\"born\":" + this.bornMillis + "}";
		this.fleet.store.heartbeat(this.id, entry.getBytes(java.nio.charset.StandardCharsets.UTF_8));
	}

	private long clock() {
		return 1000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
	}

	synchronized void tick() {
		if (!this.up) {
			return;
		}
		long now = System.nanoTime();
		if (this.cuts == 0 && now - this.heartbeatNanos > HEARTBEAT_MILLIS * 1_000_000) {
			heartbeat();
		}
		boolean lapsed = clock() >= this.leaseEnd;
		for (Run run : List.copyOf(this.running.values())) {
			if (now >= run.dueNanos) {
				end(run, run.how);
			}
			else if (lapsed) {
				end(run, "lapsed");
			}
		}
	}

	private void end(Run run, String how) {
		this.running.remove(run.task);
		this.highest.merge(run.task, run.attempt, Math::max);
		this.ended.add(new End(this.nextEnd++, run, how));
		this.fleet.ended(this, run, how);
		notifyAll();
	}

	private synchronized Server.Reply handle(int servedLife, String path, String target, byte[] body)
			throws InterruptedException {
		if (servedLife != this.life || !this.up) {
			return null;
		}
		if (path.equals("/health")) {
			return Server.Reply.json(200, "{}");
		}
		if (target != null && !target.equals(this.id)) {
			return reply(421, "");
		}
		Map<String, Object> order = Json.object(body);
		if (path.equals("/api/run-start") && this.refusesStarts) {
			this.fleet.record.write("REFUSE %s answers 503 to the start of %s/%d", this.name, Json.text(order, "task"),
					Json.number(order, "attempt"));
			return reply(503, "");
		}
		long orderToken = Json.number(order, "fencingToken");
		if (orderToken < this.token) {
			return reply(409, ",\"reason\":\"fence\"");
		}
		this.token = orderToken;
		this.fleet.tokenSeen(orderToken);
		return switch (path) {
			case "/api/run-start" -> startRun(order);
			case "/api/run-stop" -> stopRun(order);
			case "/api/hold" -> hold(servedLife, order);
			default -> reply(404, "");
		};
	}

	/** Partitions it from the store for a time; cuts may overlap. */
	void cutFromStore(long millis) {
		addCut(1);
		this.fleet.record.write("FAULT %s is partitioned from the store, not from the hosts", this.name);
		Server.THREADS.execute(() -> {
			Fleet.sleep(millis);
			addCut(-1);
			this.fleet.record.write("FAULT one cut of %s ends", this.name);
		});
	}

	private synchronized void addCut(int change) {
		this.cuts += change;
	}

	private Server.Reply reply(int status, String fields) {
		return Server.Reply.json(status, "{\"clockMs\":" + clock() + fields + "}");
	}

	private void extend(Map<String, Object> order) {
		long deadline = Json.number(order, "deadlineMs");
		if (deadline > 0) {
			this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, clock() + MAX_LEASE_MILLIS));
		}
	}

	private Server.Reply startRun(Map<String, Object> order) {
		String task = Json.text(order, "task");
		int attempt = (int) Json.number(order, "attempt");
		Run present = this.running.get(task);
		if (present != null && present.attempt == attempt) {
			extend(order);
			return reply(200, "");
		}
		if (present != null || attempt <= this.highest.getOrDefault(task, 0)) {
			extend(order);
			return reply(409, ",\"reason\":\"old\"");
		}
		if (Json.number(order, "deadlineMs") <= clock()) {
			return reply(409, ",\"reason\":\"late\"");
		}
		extend(order);
		Run run = new Run(task, attempt, Json.text(order, "taskSpec"), this.speed);
		this.running.put(task, run);
		this.fleet.started(this, run, Json.number(order, "fencingToken"));
		return reply(200, "");
	}

	private Server.Reply stopRun(Map<String, Object> order) {
		String task = Json.text(order, "task");
		int attempt = (int) Json.number(order, "attempt");
		Run run = this.running.get(task);
		this.fleet.record.write("STOP %s/%d ordered at %s by %s", task, attempt, this.name,
				this.fleet.hostOf(Json.number(order, "fencingToken")));
		if (run != null && run.attempt <= attempt && run.how.equals("done")) {
			run.how = "stopped";
			run.dueNanos = Math.min(run.dueNanos, System.nanoTime() + STOP_NANOS);
			this.fleet.stopped(this, run);
		}
		this.highest.merge(task, attempt, Math::max);
		return reply(200, "");
	}

	private Server.Reply hold(int servedLife, Map<String, Object> order) throws InterruptedException {
		extend(order);
		long cursor = Json.number(order, "ackCursor");
		this.ended.removeIf((end) -> {
			if (end.number <= cursor) {
				this.fleet.acknowledged(this, end.run, end.how);
			}
			return end.number <= cursor;
		});
		long until = System.nanoTime() + Math.min(2000, Json.number(order, "waitMs")) * 1_000_000;
		long left = (until - System.nanoTime()) / 1_000_000;
		while (this.ended.isEmpty() && left > 0 && servedLife == this.life) {
			wait(left);
			left = (until - System.nanoTime()) / 1_000_000;
		}
		if (servedLife != this.life) {
			return null;
		}
		StringBuilder rows = new StringBuilder(",\"born\":" + this.bornMillis + ",\"running\":[");
		String comma = "";
		for (Run run : this.running.values()) {
			rows.append(comma).append("[\"" + run.task + "\"," + run.attempt + ",\"\"," + run.percent() + "," + run.cpu + "]");
			comma = ",";
		}
		rows.append("],\"ended\":[");
		comma = "";
		for (End end : this.ended.subList(0, Math.min(MAX_LISTED, this.ended.size()))) {
			rows.append(comma)
				.append("[" + end.number + ",\"" + end.run.task + "\"," + end.run.attempt + ",\"" + end.how + "\",\"\"]");
			comma = ",";
		}
		return reply(200, rows + "]");
	}

	static final class Run {

		final String task;

		final int attempt;

		final int cpu;

		final boolean lasting;

		private final long startNanos = System.nanoTime();

		private final long workNanos;

		private long dueNanos;

		private String how = "done";

		Run(String task, int attempt, String spec, double speed) {
			this.task = task;
			this.attempt = attempt;
			this.cpu = (int) Fleet.field(spec, "cpu");
			long millis = Math.round(Fleet.field(spec, "ms") / speed);
			this.lasting = millis == 0;
			this.workNanos = (this.lasting ? 200 : millis) * 1_000_000;
			this.dueNanos = this.lasting ? Long.MAX_VALUE : this.startNanos + this.workNanos;
		}

		int percent() {
			long share = 100 * (System.nanoTime() - this.startNanos) / this.workNanos;
			return (int) Math.min(this.lasting ? 100 : 99, share);
		}

	}

	private record End(long number, Run run, String how) {

	}

}
