import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's store: the log with keyed topics of one partition, as the page
 * PROTOCOL describes it. It listens at one address for each host, so that it can refuse single
 * hosts. The log is guarded by one lock.
 */
final class Store {

	/** How the store treats the calls that arrive at one address. */
	enum Mode {

		SERVED, BUSY, SILENT, ANSWER_LOST

	}

	/** The longest time that a read waits for a record. */
	private static final long MAX_WAIT_MS = 30_000;

	private static final long APPEND_MS = 4;

	private static final int PAGE_ITEMS = 500;

	private static final int REMEMBERED_APPENDS = 5;

	private final Map<String, Topic> topics = new HashMap<>();

	private final Map<Integer, Mode> modes = new HashMap<>();

	/** When each worker's entry was written last, in milliseconds of the steady clock. */
	private final Map<String, Long> workerWrites = new LinkedHashMap<>();

	Store() {
		Thread expiry = new Thread(this::expire, "expiry");
		expiry.setDaemon(true);
		expiry.start();
	}

	void listen(int host, InetSocketAddress address) throws IOException {
		HttpServer server = HttpServer.create(address, 200);
		server.setExecutor(Executors.newCachedThreadPool(Main::daemon));
		server.createContext("/", (exchange) -> handle(host, exchange));
		server.start();
	}

	synchronized void setMode(int host, Mode mode) {
		this.modes.put(host, mode);
		notifyAll();
	}

	private synchronized Mode mode(int host) {
		return this.modes.getOrDefault(host, Mode.SERVED);
	}

	synchronized void put(String topic, String key, byte[] value) {
		topic(topic).add(keyed(key, value));
		notifyAll();
	}

	synchronized void putWorker(String id, byte[] entry) {
		this.workerWrites.put(id, Main.now());
		put("keyed.servers", id, entry);
	}

	// An entry is removed after three heartbeat intervals of silence.
	private void expire() {
		while (true) {
			Main.sleep(50);
			synchronized (this) {
				for (String id : List.copyOf(this.workerWrites.keySet())) {
					if (Main.now() - this.workerWrites.get(id) > 3 * Worker.HEARTBEAT_MS) {
						this.workerWrites.remove(id);
						put("keyed.servers", id, new byte[0]);
					}
				}
			}
		}
	}

	private static byte[] keyed(String key, byte[] value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + keyBytes.length + value.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(value)
			.array();
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private void handle(int host, HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		Mode mode = mode(host);
		if (mode == Mode.BUSY) {
			Main.reply(exchange, 503, "{}".getBytes(StandardCharsets.UTF_8));
			return;
		}
		if (mode == Mode.SILENT) {
			Main.sleep(60_000);
			return;
		}
		Map<String, String> query = new HashMap<>();
		for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		Reply reply = switch (exchange.getRequestURI().getPath()) {
			case "/api/log-append" -> {
				Main.sleep(APPEND_MS);
				yield append(query, body);
			}
			case "/api/log-read" -> read(query);
			case "/api/log-newest" -> newest(query);
			default -> new Reply(404, "{}".getBytes(StandardCharsets.UTF_8));
		};
		if (mode == Mode.ANSWER_LOST) {
			Main.sleep(60_000);
			return;
		}
		Main.reply(exchange, reply.status, reply.body);
	}

	private synchronized Reply append(Map<String, String> query, byte[] body) {
		Reply reply = topic(query.get("topic")).append(query, body);
		notifyAll();
		return reply;
	}

	private synchronized Reply read(Map<String, String> query) {
		Topic topic = topic(query.get("topic"));
		int from = Integer.parseInt(query.get("from"));
		long until = Main.now() + Math.min(MAX_WAIT_MS, Long.parseLong(query.getOrDefault("waitMs", "0")));
		while (topic.records.size() <= from && Main.now() < until) {
			try {
				wait(Math.max(1, until - Main.now()));
			}
			catch (InterruptedException ex) {
				break;
			}
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
		for (int offset = from; offset < topic.records.size() && bytes.size() < 1_048_576; offset++) {
			byte[] added = topic.records.get(offset);
			bytes.writeBytes(ByteBuffer.allocate(4).putInt(added.length).array());
			bytes.writeBytes(added);
		}
		return new Reply(200, bytes.toByteArray());
	}

	private synchronized Reply newest(Map<String, String> query) {
		Topic topic = topic(query.get("topic"));
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean more = false;
		for (Map.Entry<String, byte[]> entry : topic.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
			if (count++ == PAGE_ITEMS) {
				more = true;
				break;
			}
			items.append((items.length() > 0) ? "," : "")
				.append("{\"key\":\"" + entry.getKey() + "\",\"value\":\""
						+ Base64.getEncoder().encodeToString(entry.getValue()) + "\",\"offset\":"
						+ topic.offsets.get(entry.getKey()) + "}");
		}
		return new Reply(200, ("{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + topic.records.size() + "}")
			.getBytes(StandardCharsets.UTF_8));
	}

	/** A status and a body. */
	record Reply(int status, byte[] body) {

	}

	private static final class Producer {

		long epoch = -1;

		long last = -1;

		final TreeMap<Long, Reply> replies = new TreeMap<>();

	}

	private static final class Topic {

		final List<byte[]> records = new ArrayList<>();

		final TreeMap<String, byte[]> newest = new TreeMap<>();

		final Map<String, Integer> offsets = new HashMap<>();

		final Map<String, Producer> producers = new HashMap<>();

		void add(byte[] added) {
			int length = added[0] & 0xff;
			String key = new String(added, 1, length, StandardCharsets.UTF_8);
			byte[] value = Arrays.copyOfRange(added, 1 + length, added.length);
			this.offsets.put(key, this.records.size());
			if (value.length == 0) {
				this.newest.remove(key);
			}
			else {
				this.newest.put(key, value);
			}
			this.records.add(added);
		}

		// A request with an empty body appends nothing and sets the epoch; an append must follow
		// the last one of its epoch, the first of an epoch may have any number.
		Reply append(Map<String, String> query, byte[] body) {
			if (query.containsKey("at") && Long.parseLong(query.get("at")) != this.records.size()) {
				return json(412, "{\"end\":" + this.records.size() + "}");
			}
			if (!query.containsKey("producer")) {
				return addAll(body);
			}
			Producer producer = this.producers.computeIfAbsent(query.get("producer"), (key) -> new Producer());
			long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
			long sequence = Long.parseLong(query.getOrDefault("seqNo", "0"));
			if (epoch < producer.epoch) {
				return json(409, "{\"reason\":\"fenced\"}");
			}
			if (epoch > producer.epoch) {
				producer.epoch = epoch;
				producer.last = -1;
				producer.replies.clear();
			}
			if (body.length == 0) {
				return json(200, "{\"offset\":" + this.records.size() + ",\"end\":" + this.records.size() + "}");
			}
			if (producer.replies.containsKey(sequence)) {
				return producer.replies.get(sequence);
			}
			if (producer.last >= 0 && sequence != producer.last + 1) {
				return json(409, "{\"reason\":\"seq\",\"expected\":" + (producer.last + 1) + "}");
			}
			Reply reply = addAll(body);
			producer.last = sequence;
			producer.replies.put(sequence, reply);
			if (producer.replies.size() > REMEMBERED_APPENDS) {
				producer.replies.pollFirstEntry();
			}
			return reply;
		}

		private Reply addAll(byte[] body) {
			int offset = this.records.size();
			ByteBuffer buffer = ByteBuffer.wrap(body);
			while (buffer.remaining() >= 4) {
				byte[] added = new byte[buffer.getInt()];
				buffer.get(added);
				add(added);
			}
			return json(200, "{\"offset\":" + offset + ",\"end\":" + this.records.size() + "}");
		}

		private static Reply json(int status, String text) {
			return new Reply(status, text.getBytes(StandardCharsets.UTF_8));
		}

	}

}
