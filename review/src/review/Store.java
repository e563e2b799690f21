package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
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
import java.util.concurrent.ExecutorService;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: the log of PROTOCOL.md, with the calls that the system uses. It
 * listens at one port for each machine of the system, so that it can turn a single
 * machine away. It keeps all records (a trial is shorter than keep_s).
 */
final class Store {

	/** "4 ms an answer" and appendMs = 2, as in the site files and in DEPLOY.md. */
	private static final long ANSWER_MILLIS = 4;

	private static final long APPEND_MILLIS = 2;

	private static final int PAGE = 500;

	private final Record record;

	private final ExecutorService threads;

	private final Map<String, Topic> topics = new HashMap<>();

	private final Map<String, Boolean> busyFor = new HashMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	/** The machine whose append with an epoch was the last to be carried out. */
	private volatile String lastConditionalWriter;

	Store(Record record, ExecutorService threads) {
		this.record = record;
		this.threads = threads;
	}

	/** Opens the store's address for one machine. */
	InetSocketAddress open(String machine) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		server.setExecutor(this.threads);
		server.createContext("/", (exchange) -> handle(machine, exchange));
		server.start();
		this.servers.add(server);
		return server.getAddress();
	}

	/** The store answers a machine with 503 from now on, or serves it again. */
	void setBusy(String machine, boolean busy) {
		synchronized (this.busyFor) {
			this.busyFor.put(machine, busy);
		}
	}

	private boolean isBusy(String machine) {
		synchronized (this.busyFor) {
			return this.busyFor.getOrDefault(machine, false);
		}
	}

	String lastConditionalWriter() {
		return this.lastConditionalWriter;
	}

	/** Writes a record to a keyed topic on behalf of the operator or of a runner. */
	void put(String topicName, String key, String value) {
		Topic topic = topic(topicName);
		synchronized (topic) {
			topic.add(keyedRecord(key, value.getBytes(StandardCharsets.UTF_8)));
			topic.notifyAll();
		}
	}

	private static byte[] keyedRecord(String key, byte[] value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + keyBytes.length + value.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(value)
			.array();
	}

	private Topic topic(String name) {
		synchronized (this.topics) {
			return this.topics.computeIfAbsent(name, (key) -> new Topic(key.startsWith("keyed.")));
		}
	}

	private void handle(String machine, HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			if (isBusy(machine)) {
				Http.reply(exchange, 503, "{}");
				return;
			}
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			Thread.sleep(ANSWER_MILLIS / 2);
			switch (exchange.getRequestURI().getPath()) {
				case "/api/log-append" -> append(machine, exchange, query, body);
				case "/api/log-read" -> read(exchange, query);
				case "/api/log-newest" -> newest(exchange, query);
				default -> Http.reply(exchange, 404, "{}");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new LinkedHashMap<>();
		for (String pair : (text != null) ? text.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	private void append(String machine, HttpExchange exchange, Map<String, String> query, byte[] body)
			throws IOException, InterruptedException {
		Topic topic = topic(query.get("topic"));
		int status = 200;
		String reply;
		synchronized (topic.appendLock) {
			Thread.sleep(APPEND_MILLIS);
			synchronized (topic) {
				String producer = query.get("producer");
				Producer known = (producer != null) ? topic.producers.computeIfAbsent(producer, (key) -> new Producer())
						: null;
				long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
				long sequence = Long.parseLong(query.getOrDefault("seqNo", "0"));
				String repeated = (known != null && epoch == known.epoch && body.length > 0) ? known.replies.get(sequence)
						: null;
				if (known != null && epoch < known.epoch) {
					status = 409;
					reply = "{\"reason\":\"fenced\"}";
				}
				else if (repeated != null) {
					reply = repeated;
				}
				else if (known != null && body.length > 0 && epoch == known.epoch && known.lastSequence >= 0
						&& sequence != known.lastSequence + 1) {
					status = 409;
					reply = "{\"reason\":\"seq\",\"expected\":" + (known.lastSequence + 1) + "}";
				}
				else {
					long offset = topic.records.size();
					ByteBuffer records = ByteBuffer.wrap(body);
					while (records.remaining() >= 4) {
						byte[] added = new byte[records.getInt()];
						records.get(added);
						topic.add(added);
					}
					reply = "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}";
					if (known != null) {
						known.carriedOut(epoch, sequence, reply, body.length > 0);
						this.lastConditionalWriter = machine;
					}
					topic.notifyAll();
				}
			}
		}
		Thread.sleep(ANSWER_MILLIS / 2);
		Http.reply(exchange, status, reply);
	}

	private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
		Topic topic = topic(query.get("topic"));
		int from = Integer.parseInt(query.get("from"));
		long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		synchronized (topic) {
			long remaining = endNanos - System.nanoTime();
			while (topic.records.size() <= from && remaining > 0) {
				topic.wait(remaining / 1_000_000 + 1);
				remaining = endNanos - System.nanoTime();
			}
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(topic.records.size());
			out.writeLong(0);
			for (int offset = from; offset < topic.records.size() && bytes.size() < 1_000_000; offset++) {
				out.writeInt(topic.records.get(offset).length);
				out.write(topic.records.get(offset));
			}
		}
		Thread.sleep(ANSWER_MILLIS / 2);
		Http.reply(exchange, 200, bytes.toByteArray());
	}

	private void newest(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
		Topic topic = topic(query.get("topic"));
		Map<String, Object> reply = new LinkedHashMap<>();
		List<Object> items = new ArrayList<>();
		synchronized (topic) {
			long bytes = 0;
			boolean more = false;
			for (Map.Entry<String, Newest> entry : topic.newest.tailMap(query.getOrDefault("after", ""), false)
				.entrySet()) {
				if (items.size() == PAGE || bytes > 1_000_000) {
					more = true;
					break;
				}
				bytes += entry.getValue().value().length;
				Map<String, Object> item = new LinkedHashMap<>();
				item.put("key", entry.getKey());
				item.put("value", Base64.getEncoder().encodeToString(entry.getValue().value()));
				item.put("offset", entry.getValue().offset());
				items.add(item);
			}
			reply.put("items", items);
			reply.put("more", more);
			reply.put("end", topic.records.size());
		}
		Thread.sleep(ANSWER_MILLIS / 2);
		Http.reply(exchange, 200, Json.write(reply));
	}

	void close() {
		this.servers.forEach((server) -> server.stop(0));
	}

	/** The newest record of a key. */
	private record Newest(byte[] value, int offset) {
	}

	/** What a partition knows of a producer. */
	private static final class Producer {

		private long epoch = -1;

		private long lastSequence = -1;

		/** The first responses to the last five appends. */
		private final TreeMap<Long, String> replies = new TreeMap<>();

		void carriedOut(long newEpoch, long sequence, String reply, boolean hasRecords) {
			if (newEpoch > this.epoch) {
				this.epoch = newEpoch;
				this.lastSequence = -1;
				this.replies.clear();
			}
			if (hasRecords) {
				this.lastSequence = sequence;
				this.replies.put(sequence, reply);
				if (this.replies.size() > 5) {
					this.replies.pollFirstEntry();
				}
			}
		}

	}

	/** Partition 0 of a topic. */
	private static final class Topic {

		private final Object appendLock = new Object();

		private final boolean keyed;

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Newest> newest = new TreeMap<>();

		private final Map<String, Producer> producers = new HashMap<>();

		Topic(boolean keyed) {
			this.keyed = keyed;
		}

		void add(byte[] added) {
			if (this.keyed) {
				int keyLength = added[0] & 0xff;
				String key = new String(added, 1, keyLength, StandardCharsets.UTF_8);
				byte[] value = Arrays.copyOfRange(added, 1 + keyLength, added.length);
				if (value.length == 0) {
					this.newest.remove(key);
				}
				else {
					this.newest.put(key, new Newest(value, this.records.size()));
				}
			}
			this.records.add(added);
		}

	}

}
